// Package loadcmd holds the load command of parsleyctl.
package loadcmd

import (
	"context"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/session"
	"parsleyrelay.example/cmd/internal/load"
	"parsleyrelay.example/core/finding"
)

// Names of the flags, and the default values of two of them.
const (
	flagProfile        = "profile"
	flagService        = "service"
	flagCallerHosts    = "caller-hosts"
	flagDuration       = "duration"
	flagCapacity       = "capacity"
	flagRate           = "rate"
	flagMix            = "mix"
	flagFlood          = "flood"
	flagKeys           = "keys"
	flagKeyExponent    = "key-exponent"
	flagKeyOffset      = "key-offset"
	flagHotKeyInterval = "hot-keys-move"
	flagSeed           = "seed"
	flagCallers        = "callers"
	flagMaxInFlight    = "max-in-flight"
	flagDirect         = "direct"
	flagJSON           = "json-file"
	flagSVG            = "svg-file"
	flagOutput         = "output" // declared in package session for all commands
	defaultMaxInFlight = 8192
	defaultDuration    = 30 * time.Second
)

// envVar returns the environment variable that sets a flag of this command. The
// prefix keeps the variables apart from those of the daemon.
func envVar(flag string) cli.ValueSourceChain { return session.EnvVar("load-" + flag) }

// Command returns the load command.
func Command() *cli.Command {
	keys := load.DefaultKeyDistribution
	return &cli.Command{
		Name: "load", Usage: "send an open-loop load to the caller addresses of entry hosts and report it by rank",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagProfile, Sources: envVar(flagProfile), Value: "huaman", Usage: "huaman or kandyan"},
			&cli.StringFlag{Name: flagService, Sources: envVar(flagService), Usage: "only the streams of this service of the profile"},
			&cli.StringSliceFlag{Name: flagCallerHosts, Sources: envVar(flagCallerHosts), Usage: "caller URLs of entry hosts"},
			&cli.DurationFlag{Name: flagDuration, Sources: envVar(flagDuration), Value: defaultDuration, Usage: "length of the run"},
			&cli.FloatFlag{Name: flagCapacity, Sources: envVar(flagCapacity), Value: 1000, Usage: "capacity of the larger service in requests per second"},
			&cli.FloatFlag{Name: flagRate, Sources: envVar(flagRate), Usage: "requests per second of all ranks outside floods; 0 takes the profile's half load"},
			&cli.StringSliceFlag{Name: flagMix, Sources: envVar(flagMix), Usage: "RANK=SHARE of the rate, for all ranks; default: the profile's"},
			&cli.StringSliceFlag{Name: flagFlood, Sources: envVar(flagFlood), Usage: "RANK:FROM:TO:FACTOR, where FACTOR is a multiple of the capacity; may be repeated"},
			&cli.Uint64Flag{Name: flagKeys, Sources: envVar(flagKeys), Value: keys.Count, Usage: "number of keys"},
			&cli.FloatFlag{Name: flagKeyExponent, Sources: envVar(flagKeyExponent), Value: keys.Exponent, Usage: "exponent of the Zipf distribution of keys, greater than 1"},
			&cli.FloatFlag{Name: flagKeyOffset, Sources: envVar(flagKeyOffset), Value: 1, Usage: "flattens the head of the distribution of keys: popularity is (offset+n)^-exponent"},
			&cli.DurationFlag{Name: flagHotKeyInterval, Sources: envVar(flagHotKeyInterval), Value: keys.HotKeyInterval, Usage: "time after which other keys become hot; 0 for never"},
			&cli.Uint64Flag{Name: flagSeed, Sources: envVar(flagSeed), Value: 1, Usage: "seed of arrivals, keys, callers and hosts"},
			&cli.IntFlag{Name: flagCallers, Sources: envVar(flagCallers), Value: 20, Usage: "number of caller names"},
			&cli.IntFlag{Name: flagMaxInFlight, Sources: envVar(flagMaxInFlight), Value: defaultMaxInFlight, Usage: "requests in flight; more are counted as not sent"},
			&cli.BoolFlag{Name: flagDirect, Sources: envVar(flagDirect), Usage: "the hosts are backend servers: a 2xx response counts as done"},
			&cli.StringFlag{Name: flagJSON, Sources: envVar(flagJSON), Usage: "file for the report as JSON"},
			&cli.StringFlag{Name: flagSVG, Sources: envVar(flagSVG), Usage: "file for a plot of the run"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	cfg, findings := readConfig(cmd)
	if len(findings) > 0 {
		return exit.FindingsError(findings)
	}
	report, err := load.Run(ctx, cfg)
	if err != nil {
		return err
	}
	if err := session.WriteReport(cmd, report, cmd.String(flagOutput), cmd.String(flagJSON), cmd.String(flagSVG)); err != nil {
		return err
	}
	if !report.HasResponses() {
		return exit.Errorf(exit.Failure, "no request had a response")
	}
	return nil
}

// readConfig builds the load configuration from the flags and returns all
// findings together.
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
	cfg.Addresses = session.ParseURLs(cmd, flagCallerHosts, &findings)
	cfg.Duration, cfg.Seed = cmd.Duration(flagDuration), cmd.Uint64(flagSeed)
	cfg.Keys = load.KeyDistribution{Count: cmd.Uint64(flagKeys), Exponent: cmd.Float(flagKeyExponent), Offset: cmd.Float(flagKeyOffset), HotKeyInterval: cmd.Duration(flagHotKeyInterval)}
	cfg.Callers, cfg.MaxInFlight, cfg.DirectToServers = cmd.Int(flagCallers), cmd.Int(flagMaxInFlight), cmd.Bool(flagDirect)
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
