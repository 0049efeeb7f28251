package session

import (
	"io"
	"os"

	"github.com/urfave/cli/v3"
)

// Report is the result of a command that is written to the output and to files.
type Report interface {
	WriteTable(io.Writer) error
	WriteJSON(io.Writer) error
	WriteSVG(io.Writer) error
}

// WriteReport writes a report to the command's output in a format, FormatTable by default,
// and to a JSON file and an SVG file; empty names for none. It returns the first error.
func WriteReport(cmd *cli.Command, r Report, format, jsonFile, svgFile string) error {
	if err := writeFile(jsonFile, r.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(svgFile, r.WriteSVG); err != nil {
		return err
	}
	out := cmd.Root().Writer
	switch format {
	case FormatJSON:
		return r.WriteJSON(out)
	case FormatYAML:
		return WriteYAML(out, r)
	}
	return r.WriteTable(out)
}

func writeFile(name string, writeTo func(io.Writer) error) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := writeTo(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}
