package session

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// Output formats.
const (
	FormatTable = "table"
	FormatJSON  = "json"
	FormatYAML  = "yaml"
)

// Print writes value in the output format. For FormatTable it calls writeTable
// with a writer that aligns columns; writeTable may be nil for the other formats.
func (s *Session) Print(value any, writeTable func(w io.Writer)) error {
	switch s.OutputFormat {
	case FormatJSON:
		enc := json.NewEncoder(s.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(value)
	case FormatYAML:
		return WriteYAML(s.Out, value)
	}
	tw := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	writeTable(tw)
	return tw.Flush()
}

// WriteYAML writes the JSON form of value as YAML.
func WriteYAML(w io.Writer, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	text, err := yaml.JSONToYAML(data)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return err
}

// WriteRow writes one line of a table with the cells separated by tabs.
func WriteRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
