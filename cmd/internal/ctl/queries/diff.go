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

// resourceDiff describes how a resource in a manifest differs from the declared
// resource.
type resourceDiff struct {
	Resource string               `json:"resource"`
	Change   string               `json:"change"` // create, replace or none
	Version  uint64               `json:"version,omitempty"`
	Fields   map[string]fieldDiff `json:"fields,omitempty"`
}

// fieldDiff holds the values of a spec field that differs.
type fieldDiff struct {
	Declared any `json:"declared"`
	Manifest any `json:"manifest"`
}

func diffManifests(ctx context.Context, cmd *cli.Command) error {
	s, err := session.New(cmd)
	if err != nil {
		return err
	}
	files := cmd.StringSlice(flagFile)
	if len(files) == 0 || cmd.Args().Len() > 0 {
		return errDiffArguments
	}
	docs, findings := manifest.Load(files, s.In)
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	existing, err := s.DeclaredResources(ctx)
	if err != nil {
		return err
	}
	list := make([]resourceDiff, 0, len(docs))
	for _, doc := range docs {
		d, err := compareResource(doc.Resource, existing)
		if err != nil {
			return err
		}
		list = append(list, d)
	}
	return s.Print(list, func(w io.Writer) { writeDiffTable(w, list) })
}

func compareResource(desired resource.Resource, existing map[resource.Key]operatorapi.Resource) (resourceDiff, error) {
	d := resourceDiff{Resource: desired.Key().String(), Change: "create", Fields: map[string]fieldDiff{}}
	current, ok := existing[desired.Key()]
	if ok {
		d.Change, d.Version = "replace", current.Metadata.Version
	}
	var before, after map[string]any
	data, err := json.Marshal(desired.Spec)
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
	allFields := maps.Clone(after)
	maps.Copy(allFields, before)
	for name := range allFields {
		oldValue, newValue := fmt.Sprint(before[name]), fmt.Sprint(after[name])
		if oldValue != newValue {
			d.Fields[name] = fieldDiff{Declared: before[name], Manifest: after[name]}
		}
	}
	if ok && len(d.Fields) == 0 {
		d.Change = "none"
	}
	return d, nil
}

func writeDiffTable(w io.Writer, list []resourceDiff) {
	session.WriteRow(w, "RESOURCE", "CHANGE", "FIELD", "DECLARED", "MANIFEST")
	for _, d := range list {
		session.WriteRow(w, d.Resource, d.Change)
		for _, name := range slices.Sorted(maps.Keys(d.Fields)) {
			session.WriteRow(w, "", "", name, formatValue(d.Fields[name].Declared), formatValue(d.Fields[name].Manifest))
		}
	}
}

func formatValue(v any) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprint(v)
}
