// Package loadcmd holds the load command of parsleyctl.
package loadcmd

import (
	"context"
	"io"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
	"parsleyrelay.example/cmd/internal/load"
	"parsleyrelay.example/core/finding"
)

// Names of the flags.
const (
	flagProfile   = "profile"
	flagService   = "service"
	flagHosts     = "caller-hosts"
	flagDuration  = "duration"
	flagCapacity  = "capacity"
	flagRate      = "rate"
	flagMix       = "mix"
	flagFlood     = "flood"
	flagKeys      = "keys"
	flagExponent  = "key-exponent"
	flagOffset    = "key-offset"
	flagMove      = "hot-keys-move"
	flagSeed      = "seed"
	flagCallers   = "callers"
	flagInFlight  = "max-in-flight"
	flagDirect    = "direct"
	flagJSON      = "json-file"
	flagSVG       = "svg-file"
	flagOutput    = "output" // shared by all commands
	maxInFlight   = 8192
	defaultLength = 30 * time.Second
)

// env prefixes the variables, so that they do not clash with the daemon's.
func env(flag string) cli.ValueSourceChain { return session.EnvVar("load-" + flag) }

// Command returns the load command.
func Command() *cli.Command {
	keys := load.DefaultKeyDistribution
	return &cli.Command{
		Name: "load", Usage: "send an open-loop load to the caller addresses of entry hosts and report it by rank",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagProfile, Sources: env(flagProfile), Value: "huaman", Usage: "huaman or kandyan"},
			&cli.StringFlag{Name: flagService, Sources: env(flagService), Usage: "only the streams of this service of the profile"},
			&cli.StringSliceFlag{Name: flagHosts, Sources: env(flagHosts), Usage: "caller URLs of entry hosts"},
			&cli.DurationFlag{Name: flagDuration, Sources: env(flagDuration), Value: defaultLength, Usage: "length of the run"},
			&cli.FloatFlag{Name: flagCapacity, Sources: env(flagCapacity), Value: 1000, Usage: "capacity of the larger service in requests per second"},
			&cli.FloatFlag{Name: flagRate, Sources: env(flagRate), Usage: "requests per second of all ranks outside floods; 0 takes the profile's half load"},
			&cli.StringSliceFlag{Name: flagMix, Sources: env(flagMix), Usage: "RANK=SHARE of the rate, for all ranks; default: the profile's"},
			&cli.StringSliceFlag{Name: flagFlood, Sources: env(flagFlood), Usage: "RANK:FROM:TO:FACTOR, where FACTOR is a multiple of the capacity; may be repeated"},
			&cli.Uint64Flag{Name: flagKeys, Sources: env(flagKeys), Value: keys.Count, Usage: "number of keys"},
			&cli.FloatFlag{Name: flagExponent, Sources: env(flagExponent), Value: keys.Exponent, Usage: "exponent of the Zipf distribution of keys, greater than 1"},
			&cli.FloatFlag{Name: flagOffset, Sources: env(flagOffset), Value: 1, Usage: "flattens the head of the distribution of keys: popularity is (offset+n)^-exponent"},
			&cli.DurationFlag{Name: flagMove, Sources: env(flagMove), Value: keys.HotKeyInterval, Usage: "time after which other keys become hot; 0 for never"},
			&cli.Uint64Flag{Name: flagSeed, Sources: env(flagSeed), Value: 1, Usage: "seed of arrivals, keys, callers and hosts"},
			&cli.IntFlag{Name: flagCallers, Sources: env(flagCallers), Value: 20, Usage: "number of caller names"},
			&cli.IntFlag{Name: flagInFlight, Sources: env(flagInFlight), Value: maxInFlight, Usage: "requests in flight; more are counted as not sent"},
			&cli.BoolFlag{Name: flagDirect, Sources: env(flagDirect), Usage: "the hosts are backend servers: a 2xx response counts as done"},
			&cli.StringFlag{Name: flagJSON, Sources: env(flagJSON), Usage: "file for the report as JSON"},
			&cli.StringFlag{Name: flagSVG, Sources: env(flagSVG), Usage: "file for a plot of the run"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	cfg, findings := readConfig(cmd)
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := write(cmd, report); err != nil {
		return err
	}
	if !report.HasResponses() {
		return exit.Errorf(exit.Failure, "no request had a response")
	}
	return nil
}

// readConfig reports all findings together.
func readConfig(cmd *cli.Command) (load.Config, finding.List) {
	var findings finding.List
	cfg, err := load.ConfigForProfile(cmd.String(flagProfile), cmd.Float(flagCapacity))
	if err != nil {
		findings.Add("--"+flagProfile, "%v", err)
	}
	if service := cmd.String(flagService); service != "" {
		cfg.Streams = slices.DeleteFunc(cfg.Streams, func(s load.Stream) bool { return s.Service != service })
	}
	if cmd.Float(flagCapacity) <= 0 {
		findings.Add("--"+flagCapacity, "%v is not positive", cmd.Float(flagCapacity))
	}
	if cmd.Args().Present() {
		findings.Add("arguments", "load takes none")
	}
	if output := cmd.String(flagOutput); !slices.Contains([]string{session.FormatTable, session.FormatJSON, session.FormatYAML}, output) {
		findings.Add("--"+flagOutput, "%q is none of table, json and yaml", output)
	}
	cfg.Addresses = session.ParseURLs(cmd, flagHosts, &findings)
	cfg.Duration, cfg.Seed = cmd.Duration(flagDuration), cmd.Uint64(flagSeed)
	cfg.Keys = load.KeyDistribution{Count: cmd.Uint64(flagKeys), Exponent: cmd.Float(flagExponent), Offset: cmd.Float(flagOffset), HotKeyInterval: cmd.Duration(flagMove)}
	cfg.Callers, cfg.MaxInFlight, cfg.DirectToServers = cmd.Int(flagCallers), cmd.Int(flagInFlight), cmd.Bool(flagDirect)
	for _, text := range cmd.StringSlice(flagFlood) {
		flood, err := load.ParseFlood(text)
		if err != nil {
			findings.Add("--"+flagFlood, "%v", err)
			continue
		}
		cfg.Floods = append(cfg.Floods, flood)
	}
	mix, err := load.ParseMix(cmd.StringSlice(flagMix))
	if err != nil {
		findings.Add("--"+flagMix, "%v", err)
	} else if err := cfg.ScaleRates(cmd.Float(flagRate), mix); err != nil {
		findings.Add("--"+flagRate+", --"+flagMix, "%v", err)
	}
	return cfg, append(findings, cfg.Validate()...)
}

func write(cmd *cli.Command, report *load.Report) error {
	for file, writeTo := range map[string]func(io.Writer) error{
		cmd.String(flagJSON): report.WriteJSON,
		cmd.String(flagSVG):  report.WriteSVG,
	} {
		if err := writeFile(file, writeTo); err != nil {
			return err
		}
	}
	out := cmd.Root().Writer
	switch cmd.String(flagOutput) {
	case session.FormatJSON:
		return report.WriteJSON(out)
	case session.FormatYAML:
		return session.WriteYAML(out, report)
	}
	return report.WriteTable(out)
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
