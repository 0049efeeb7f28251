// Package commands holds the commands of parsleyctl that change resources.
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

// All returns the commands apply and delete.
func All() []*cli.Command {
	return []*cli.Command{
		{
			Name: "apply", Usage: "create or replace the resources of manifests",
			Flags: []cli.Flag{
				&cli.StringSliceFlag{Name: flagFile, Aliases: []string{"f"}, Sources: session.EnvVar(flagFile), Usage: "manifest, or - for standard input; may be repeated"},
				&cli.BoolFlag{Name: flagConfirmLost, Sources: session.EnvVar(flagConfirmLost), Usage: "confirm that nothing runs any more in zones declared lost"},
			},
			Action: applyManifests,
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

func applyManifests(ctx context.Context, cmd *cli.Command) error {
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
	a := &applier{session: s, existing: existing, confirmLost: cmd.Bool(flagConfirmLost)}
	return a.applyAll(ctx, docs)
}

// applier sends the resources of manifests as changes.
type applier struct {
	session     *session.Session
	existing    map[resource.Key]operatorapi.Resource // as read before the first change
	confirmLost bool                                  // confirms that nothing runs in zones declared lost
}

// applyAll applies the documents in order. It continues after a conflict or an
// invalid resource. It stops when no host accepts changes or an outcome is
// unknown, since the remaining changes would most likely fail in the same way.
func (a *applier) applyAll(ctx context.Context, docs []*manifest.Document) error {
	var lastErr error
	for i, doc := range docs {
		err := a.applyDocument(ctx, doc)
		if err == nil {
			continue
		}
		fmt.Fprintf(a.session.ErrOut, "%v\n", err)
		lastErr = err
		if code := exit.CodeOf(err); code == exit.Failure || code == exit.OutcomeUnknown {
			return exit.Errorf(code, "stopped; %d resources were not tried", len(docs)-i-1)
		}
	}
	if lastErr != nil {
		return exit.Errorf(exit.CodeOf(lastErr), "some resources were not applied")
	}
	return nil
}

// applyDocument applies one document. If the manifest has no version, the change
// expects the version that was read before, so that a change made since then
// causes a conflict.
func (a *applier) applyDocument(ctx context.Context, doc *manifest.Document) error {
	desired := doc.Resource
	current, exists := a.existing[desired.Key()]
	if exists && (desired.Version == 0 || desired.Version == current.Metadata.Version) && session.SpecsEqual(desired.Spec, current.Spec) {
		fmt.Fprintf(a.session.Out, "%s unchanged (version %d)\n", desired.Key(), current.Metadata.Version)
		return nil
	}
	if desired.Version == 0 {
		desired.Version = current.Metadata.Version
	}
	path := session.ResourcePath(desired.Key().Kind, desired.Name)
	if a.confirmLost && desired.Key().Kind == resource.KindZone {
		path += "?" + operatorapi.ConfirmParam + "=" + operatorapi.ConfirmLost
	}
	change, err := a.session.Client.SubmitChange(ctx, http.MethodPut, path, uuid.NewString(), desired)
	if err != nil {
		return exit.Errorf(exit.CodeOf(err), "%s: %w", doc.Location(""), err)
	}
	if err := reportOutcome(a.session, doc.Location(""), change); err != nil {
		return err
	}
	fmt.Fprintf(a.session.Out, "%s accepted (version %d)\n", desired.Key(), change.Version)
	return nil
}

// reportOutcome prints the warning of a change and returns an error unless the
// change was accepted. messagePrefix names the resource at the start of messages.
func reportOutcome(s *session.Session, messagePrefix string, change operatorapi.Change) error {
	if change.Warning != "" {
		fmt.Fprintf(s.ErrOut, "%s: warning: %s\n", messagePrefix, change.Warning)
	}
	switch change.State {
	case operatorapi.ChangeAccepted:
		return nil
	case operatorapi.ChangeInvalid:
		return exit.FindingsError(exit.FindingsFromAPI(change.Findings))
	}
	message := messagePrefix + ": " + change.Reason
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
	resourceName := resource.Key{Kind: kind, Name: args[1]}.String()
	if err := reportOutcome(s, resourceName, change); err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%s deleted (offset %d)\n", resourceName, change.Offset)
	return nil
}
