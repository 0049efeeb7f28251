// Package modelcmd holds the model command of parsleyctl.
package modelcmd

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/core/model"
)

// Names of the flags.
const (
	flagScenario = "scenario"
	flagHosts    = "hosts"
	flagSeeds    = "seeds"
	flagJSON     = "json-file"
	flagSVG      = "svg-file"
	flagOutput   = "output" // declared in package session for all commands
)

// envVar returns the environment variable that sets a flag of this command. The
// prefix keeps the variables apart from those of the daemon.
func envVar(flag string) cli.ValueSourceChain { return session.EnvVar("model-" + flag) }

// Command returns the model command.
func Command() *cli.Command {
	return &cli.Command{
		Name: "model", Usage: "simulate many entry hosts and a service with keys, without a network",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagScenario, Sources: envVar(flagScenario), Usage: "scenario file, YAML or JSON"},
			&cli.IntSliceFlag{Name: flagHosts, Sources: envVar(flagHosts), Usage: "numbers of entry hosts, in place of those of the scenario"},
			&cli.Uint64SliceFlag{Name: flagSeeds, Sources: envVar(flagSeeds), Usage: "seeds, in place of those of the scenario"},
			&cli.StringFlag{Name: flagJSON, Sources: envVar(flagJSON), Usage: "file for the results as JSON"},
			&cli.StringFlag{Name: flagSVG, Sources: envVar(flagSVG), Usage: "file for a plot over the numbers of hosts"},
		},
		Action: runModel,
	}
}

func runModel(ctx context.Context, cmd *cli.Command) error {
	scenario, findings := readConfig(cmd)
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	var r report
	for _, hosts := range scenario.Hosts {
		for _, seed := range scenario.Seeds {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := model.Run(scenario, hosts, seed)
			if err != nil {
				return err
			}
			r.Results = append(r.Results, result)
		}
	}
	return session.WriteReport(cmd, r, cmd.String(flagOutput), cmd.String(flagJSON), cmd.String(flagSVG))
}

// readConfig reads the scenario file and the flags, and returns all findings together.
func readConfig(cmd *cli.Command) (model.Scenario, finding.List) {
	var findings finding.List
	if cmd.Args().Present() {
		findings.Add("arguments", "model takes none")
	}
	if output := cmd.String(flagOutput); !slices.Contains([]string{session.FormatTable, session.FormatJSON, session.FormatYAML}, output) {
		findings.Add("--"+flagOutput, "%q is none of table, json and yaml", output)
	}
	name := cmd.String(flagScenario)
	if name == "" {
		findings.Add("--"+flagScenario, "is required")
		return model.Scenario{}, findings
	}
	data, err := os.ReadFile(name)
	if err != nil {
		findings.Add("--"+flagScenario, "%v", err)
		return model.Scenario{}, findings
	}
	file := parseScenario(name, data)
	if hosts := cmd.IntSlice(flagHosts); len(hosts) > 0 {
		file.override("hosts", "--"+flagHosts)
		file.scenario.Hosts = hosts
	}
	if seeds := cmd.Uint64Slice(flagSeeds); len(seeds) > 0 {
		file.override("seeds", "--"+flagSeeds)
		file.scenario.Seeds = seeds
	}
	return file.scenario, append(findings, file.allFindings()...)
}

// WriteJSON implements session.Report.
func (r report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
