// Package commands holds the commands of parsleyctl that change something.
package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
	"parsleyrelay.example/cmd/internal/manifest"
	"parsleyrelay.example/core/resource"
)

const (
	flagFile        = "file"
	flagConfirmLost = "confirm-lost"
	flagVersion     = "expected-version"
	flagChangeID    = "change-id"
)

// All returns the commands.
func All() []*cli.Command {
	return []*cli.Command{
		{
			Name: "apply", Usage: "create or replace the resources of manifests",
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: flagFile, Aliases: []string{"f"}, Sources: session.EnvVar(flagFile), Usage: "manifest, or - for standard input; may be repeated"},
				&cli.BoolFlag{Name: flagConfirmLost, Sources: session.EnvVar(flagConfirmLost), Usage: "confirm that nothing runs any more in zones declared lost"},
			},
			Action: apply,
		},
		{
			Name: "delete", Usage: "delete a resource", ArgsUsage: "KIND NAME",
			Flags: []cli.Flag{
				&cli.Uint64Flag{Name: flagVersion, Sources: session.EnvVar(flagVersion), Usage: "version that is deleted; default: the current one"},
				&cli.StringFlag{Name: flagChangeID, Sources: session.EnvVar(flagChangeID), Usage: "UUID of the change, to repeat one whose outcome is unknown"},
			},
			Action: deleteResource,
		},
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	files := cmd.StringSlice(flagFile)
	if len(files) == 0 || cmd.Args().Len() > 0 {
		return exit.Errorf(exit.BadInput, "apply needs --file and no arguments")
	}
	docs, findings := manifest.Load(files, s.In)
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	existing, err := s.DeclaredResources(ctx)
	if err != nil {
		return err
	}
	findings = manifest.CheckReferences(docs, func(key resource.Key) bool {
		_, ok := existing[key]
		return ok
	})
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	a := &applier{s: s, existing: existing, confirmLost: cmd.Bool(flagConfirmLost)}
	return a.all(ctx, docs)
}

type applier struct {
	s           *session.Session
	existing    map[resource.Key]operatorapi.Resource
	confirmLost bool
}

// all applies the documents in order. It goes on after a conflict or findings of
// one resource, and stops when hosts do not accept changes or an outcome is
// unknown, since the rest would most likely end the same way.
func (a *applier) all(ctx context.Context, docs []*manifest.Document) error {
	var worst error
	for i, doc := range docs {
		err := a.one(ctx, doc)
		if err == nil {
			continue
		}
		fmt.Fprintf(a.s.ErrOut, "%v\n", err)
		worst = err
		if code := exit.CodeOf(err); code == exit.Failure || code == exit.OutcomeUnknown {
			return exit.Errorf(code, "stopped; %d resources were not tried", len(docs)-i-1)
		}
	}
	if worst != nil {
		return exit.Errorf(exit.CodeOf(worst), "some resources were not applied")
	}
	return nil
}

// one applies a document. Without a version in the manifest it replaces the
// version that was just read, so that a change made since then is a conflict.
func (a *applier) one(ctx context.Context, doc *manifest.Document) error {
	r := doc.Resource
	current, exists := a.existing[r.Key()]
	if exists && (r.Version == 0 || r.Version == current.Metadata.Version) && session.SpecsEqual(r.Spec, current.Spec) {
		fmt.Fprintf(a.s.Out, "%s unchanged (version %d)\n", r.Key(), current.Metadata.Version)
		return nil
	}
	if r.Version == 0 {
		r.Version = current.Metadata.Version
	}
	path := session.ResourcePath(r.Key().Kind, r.Name)
	if a.confirmLost && r.Key().Kind == resource.KindZone {
		path += "?" + operatorapi.ConfirmParam + "=" + operatorapi.ConfirmLost
	}
	change, err := a.s.Client.SubmitChange(ctx, http.MethodPut, path, uuid.NewString(), r)
	if err != nil {
		return exit.Errorf(exit.CodeOf(err), "%s: %w", doc.Location(""), err)
	}
	if err := report(a.s, doc.Location(""), change); err != nil {
		return err
	}
	fmt.Fprintf(a.s.Out, "%s accepted (version %d)\n", r.Key(), change.Version)
	return nil
}

// report prints warnings and turns an outcome other than accepted into an error.
func report(s *session.Session, place string, change operatorapi.Change) error {
	if change.Warning != "" {
		fmt.Fprintf(s.ErrOut, "%s: warning: %s\n", place, change.Warning)
	}
	switch change.State {
	case operatorapi.ChangeAccepted:
		return nil
	case operatorapi.ChangeInvalid:
		return exit.FindingsError(exit.FindingsFromAPI(change.Findings))
	}
	message := place + ": " + change.Reason
	if change.Resource != nil {
		data, err := json.Marshal(change.Resource)
		if err != nil {
			return err
		}
		message += "\ncurrent: " + string(data)
	}
	return exit.Errorf(exit.Conflict, "%s", message)
}

func deleteResource(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	args, err := session.PositionalArgs(cmd, 2, 2)
	if err != nil {
		return err
	}
	kind, err := session.ParseKind(args[0])
	if err != nil {
		return err
	}
	id := cmd.String(flagChangeID)
	if id == "" {
		id = uuid.NewString()
	}
	path := session.ResourcePath(kind, args[1])
	version := cmd.Uint64(flagVersion)
	if version == 0 {
		var current operatorapi.Resource
		if err := s.Client.Get(ctx, path, &current); err != nil {
			return err
		}
		version = current.Metadata.Version
	}
	body := operatorapi.Resource{Kind: string(kind), Metadata: operatorapi.Metadata{Name: args[1], Version: version}}
	change, err := s.Client.SubmitChange(ctx, http.MethodDelete, path, id, body)
	if err != nil {
		return err
	}
	place := resource.Key{Kind: kind, Name: args[1]}.String()
	if err := report(s, place, change); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%s deleted (offset %d)\n", place, change.Offset)
	return nil
}
