package queries

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/api/operatorapi"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
	"parsleyrelay.example/cmd/internal/manifest"
	"parsleyrelay.example/core/resource"
)

// difference is how one resource of a manifest differs from what is declared.
type difference struct {
	Resource string                 `json:"resource"`
	Change   string                 `json:"change"` // create, replace or none
	Version  uint64                 `json:"version,omitempty"`
	Fields   map[string]fieldChange `json:"fields,omitempty"`
}

type fieldChange struct {
	Declared any `json:"declared"`
	Manifest any `json:"manifest"`
}

func diff(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	files := cmd.StringSlice(flagFile)
	if len(files) == 0 || cmd.Args().Len() > 0 {
		return errNoFile
	}
	docs, findings := manifest.Load(files, s.In)
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	existing, err := s.DeclaredResources(ctx)
	if err != nil {
		return err
	}
	list := make([]difference, 0, len(docs))
	for _, doc := range docs {
		d, err := compare(doc.Resource, existing)
		if err != nil {
			return err
		}
		list = append(list, d)
	}
	return s.Print(list, func(w io.Writer) { diffTable(w, list) })
}

func compare(r resource.Resource, existing map[resource.Key]operatorapi.Resource) (difference, error) {
	d := difference{Resource: r.Key().String(), Change: "create", Fields: map[string]fieldChange{}}
	current, ok := existing[r.Key()]
	if ok {
		d.Change, d.Version = "replace", current.Metadata.Version
	}
	var before, after map[string]any
	data, err := json.Marshal(r.Spec)
	if err != nil {
		return d, err
	}
	if err := json.Unmarshal(data, &after); err != nil {
		return d, err
	}
	if ok {
		if err := json.Unmarshal(current.Spec, &before); err != nil {
			return d, fmt.Errorf("%s: spec of the response: %w", d.Resource, err)
		}
	}
	names := maps.Clone(after)
	maps.Copy(names, before)
	for name := range names {
		a, b := fmt.Sprint(before[name]), fmt.Sprint(after[name])
		if a != b {
			d.Fields[name] = fieldChange{Declared: before[name], Manifest: after[name]}
		}
	}
	if ok && len(d.Fields) == 0 {
		d.Change = "none"
	}
	return d, nil
}

func diffTable(w io.Writer, list []difference) {
	session.WriteRow(w, "RESOURCE", "CHANGE", "FIELD", "DECLARED", "MANIFEST")
	for _, d := range list {
		session.WriteRow(w, d.Resource, d.Change)
		for _, name := range slices.Sorted(maps.Keys(d.Fields)) {
			session.WriteRow(w, "", "", name, show(d.Fields[name].Declared), show(d.Fields[name].Manifest))
		}
	}
}

func show(v any) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}
