package queries

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
	"parsleyrelay.example/cmd/internal/manifest"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/resource"
)

const flagAgainst = "against"

// Exit codes of config check, beside exit.OK.
const (
	checkFindings = exit.Failure
	checkNotMade  = exit.BadInput // usage, a file that cannot be read, or no response of a host
)

// Change of a resource that is in force and in no manifest; apply leaves it as it is.
const changeKept = "kept"

// configReport is the result of config check.
type configReport struct {
	Findings finding.List   `json:"findings"`
	Changes  []resourceDiff `json:"changes"` // without unchanged resources
}

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check manifests before they are applied",
		Commands: []*cli.Command{{
			Name: "check", Usage: "report the findings of a manifest and what it changes", ArgsUsage: "FILE",
			Description: "Exit codes: 0 without findings; 1 with findings; 2 if the check could not be made.",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagAgainst, Sources: session.EnvVar("config-" + flagAgainst), Usage: "manifest of the version in force; default: that of --entry-hosts, if set"},
			},
			Action: checkConfig,
		}},
		Action: func(_ context.Context, cmd *cli.Command) error {
			return exit.Errorf(exit.BadInput, "config needs the command check; see parsleyctl config --help")
		},
	}
}

func checkConfig(ctx context.Context, cmd *cli.Command) error {
	args, err := session.PositionalArgs(cmd, 1, 1)
	if err != nil {
		return err
	}
	s, err := newCheckSession(cmd)
	if err != nil {
		return err
	}
	docs, findings, err := loadChecked(args[0], s.In)
	if err != nil {
		return err
	}
	inForce, err := readInForce(ctx, cmd, s)
	if err != nil {
		return err
	}
	report, err := newConfigReport(docs, findings, inForce)
	if err != nil {
		return exit.Errorf(checkNotMade, "%w", err)
	}
	if err := s.Print(report, report.writeTable); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return exit.Errorf(checkFindings, "%d findings", len(report.Findings))
	}
	return nil
}

// newCheckSession returns a session, without hosts unless --entry-hosts is needed.
func newCheckSession(cmd *cli.Command) (*session.Session, error) {
	if cmd.String(flagAgainst) == "" && session.HasHosts(cmd) {
		return session.New(cmd)
	}
	return session.NewLocal(cmd)
}

// loadChecked reads a manifest. Findings are those of its text; an error says that it could
// not be read.
func loadChecked(file string, stdin io.Reader) ([]*manifest.Document, finding.List, error) {
	if file == manifest.Stdin {
		data, err := io.ReadAll(stdin)
		if err != nil {
			return nil, nil, exit.Errorf(checkNotMade, "standard input: %w", err)
		}
		docs, findings := manifest.Load([]string{file}, bytes.NewReader(data))
		return docs, findings, nil
	}
	if _, err := os.ReadFile(file); err != nil {
		return nil, nil, exit.Errorf(checkNotMade, "%w", err)
	}
	docs, findings := manifest.Load([]string{file}, stdin)
	return docs, findings, nil
}

// readInForce returns the resources of --against or of the hosts; nil for neither.
func readInForce(ctx context.Context, cmd *cli.Command, s *session.Session) (map[resource.Key]operatorapi.Resource, error) {
	if file := cmd.String(flagAgainst); file != "" {
		docs, findings, err := loadChecked(file, s.In)
		if err != nil {
			return nil, err
		}
		if len(findings) > 0 {
			return nil, exit.Errorf(checkNotMade, "--%s: %w", flagAgainst, findings)
		}
		inForce := map[resource.Key]operatorapi.Resource{}
		for _, d := range docs {
			spec, err := json.Marshal(d.Resource.Spec)
			if err != nil {
				return nil, exit.Errorf(checkNotMade, "%w", err)
			}
			key := d.Resource.Key()
			inForce[key] = operatorapi.Resource{Kind: string(key.Kind), Metadata: operatorapi.Metadata{Name: key.Name, Version: d.Resource.Version}, Spec: spec}
		}
		return inForce, nil
	}
	if s.Client == nil {
		return nil, nil
	}
	inForce, err := s.DeclaredResources(ctx)
	if err != nil {
		return nil, exit.Errorf(checkNotMade, "%w", err)
	}
	return inForce, nil
}

// newConfigReport checks documents. findings are those of their text: with them, references
// are not checked, since documents with findings are left out.
func newConfigReport(docs []*manifest.Document, findings finding.List, inForce map[resource.Key]operatorapi.Resource) (*configReport, error) {
	report := &configReport{Findings: append(finding.List{}, findings...), Changes: []resourceDiff{}}
	decoded := map[resource.Key]resource.Resource{}
	for key, r := range inForce {
		data, err := json.Marshal(operatorapi.Resource{Kind: r.Kind, Metadata: r.Metadata, Spec: r.Spec})
		if err != nil {
			return nil, err
		}
		var d resource.Resource
		if err := json.Unmarshal(data, &d); err != nil {
			return nil, err
		}
		decoded[key] = d
	}
	if len(findings) == 0 {
		report.Findings = append(report.Findings, manifest.CheckReferences(docs, func(key resource.Key) bool {
			_, ok := inForce[key]
			return ok
		})...)
	}
	for _, f := range manifest.CheckConsistency(docs, decoded) {
		if !slices.Contains(report.Findings, f) {
			report.Findings = append(report.Findings, f)
		}
	}
	if inForce == nil {
		return report, nil
	}
	return report, report.addChanges(docs, inForce, len(findings) > 0)
}

// addChanges adds what documents change. partial says that some documents were left out, so
// that resources without one may be named in them.
func (r *configReport) addChanges(docs []*manifest.Document, inForce map[resource.Key]operatorapi.Resource, partial bool) error {
	named := map[resource.Key]bool{}
	for _, d := range docs {
		named[d.Resource.Key()] = true
		diff, err := compareResource(d.Resource, inForce)
		if err != nil {
			return err
		}
		if diff.Change != "none" {
			r.Changes = append(r.Changes, diff)
		}
	}
	if partial {
		return nil
	}
	var kept []resourceDiff
	for key, current := range inForce {
		if !named[key] {
			kept = append(kept, resourceDiff{Resource: key.String(), Change: changeKept, Version: current.Metadata.Version})
		}
	}
	slices.SortFunc(kept, func(a, b resourceDiff) int { return strings.Compare(a.Resource, b.Resource) })
	r.Changes = append(r.Changes, kept...)
	return nil
}

func (r *configReport) writeTable(w io.Writer) {
	if len(r.Findings) > 0 {
		session.WriteRow(w, "PLACE", "FINDING")
	}
	for _, f := range r.Findings {
		session.WriteRow(w, f.Place, f.Problem)
	}
	if len(r.Changes) > 0 {
		writeDiffTable(w, r.Changes)
	}
}
