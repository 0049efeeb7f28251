// Command parsleyrelayd is the daemon that runs on entry hosts.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/dev"
	"parsleyrelay.example/core/event"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/platform"
	"parsleyrelay.example/relay/daemon"
	"parsleyrelay.example/relay/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "parsleyrelayd",
		Usage:    "request router for servers that own keys exclusively",
		Commands: []*cli.Command{runCommand(), serveCommand(), devCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// Exit codes.
const (
	exitFailure     = 1
	exitBadSettings = 2
)

func exitCode(err error) int {
	var findings finding.List
	if errors.As(err, &findings) {
		return exitBadSettings
	}
	return exitFailure
}

// newLogger returns the logger of the process. The clients of net/http write to
// the standard logger; their lines are logged as events named adapter_failed.
func newLogger() log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(log.With(logger, "event", int(event.AdapterFailed), "name", "adapter_failed")))
	return log.With(logger, "ts", log.TimestampFormat(time.Now, time.RFC3339Nano))
}

func runCommand() *cli.Command {
	s := settings.Defaults()
	return &cli.Command{
		Name:  "run",
		Usage: "run the daemon of an entry host until SIGTERM, then drain",
		Flags: settings.Flags(&s),
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := s.Validate().Err(); err != nil {
				return err
			}
			return runDaemon(ctx, s)
		},
	}
}

// serveCommand returns the command that runs the entry host of package platform,
// for deployments whose servers and configuration are recorded in the platform's log
// store. The run command runs the daemon of package relay/daemon instead.
func serveCommand() *cli.Command {
	var s platform.Settings
	return &cli.Command{
		Name:  "serve",
		Usage: "run the entry host of a deployment whose servers take grants without tokens, on the platform's log store",
		Flags: s.Flags(),
		Action: func(ctx context.Context, _ *cli.Command) error {
			h, err := platform.NewHost(s, os.Stdout)
			if err != nil {
				return err
			}
			return h.Run(ctx, reloadRequests())
		},
	}
}

// reloadRequests returns a channel that receives a value when the process gets
// SIGHUP, the usual request for a reload. Without a handler, SIGHUP would end the
// process.
func reloadRequests() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reloads := make(chan struct{}, 1)
	go func() {
		for range signals {
			select {
			case reloads <- struct{}{}:
			default: // a reload is already pending
			}
		}
	}()
	return reloads
}

// runDaemon runs the daemon. If the other daemons removed it from the cluster
// members, for example while the process was paused, it starts a new daemon, which
// joins the members under a new id (incarnation).
func runDaemon(ctx context.Context, s settings.Settings) error {
	for {
		d, err := daemon.FromSettings(s, newLogger())
		if err != nil {
			return err
		}
		err = d.Run(ctx)
		var removed *daemon.RemovedError
		if !errors.As(err, &removed) {
			return err
		}
		fmt.Fprintln(os.Stderr, err)
	}
}

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole small deployment in this process",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "send load for this long; 0 keeps the deployment running until a signal", Value: 0},
			&cli.BoolFlag{Name: "lose-server", Usage: "stop a backend server at half of the duration", Value: true},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the load", Value: 1},
			&cli.StringFlag{Name: "profile", Usage: "huaman or kandyan: the numbers of servers, slots and connections of that site, for parsleyctl load; empty for the small demonstration"},
			&cli.IntFlag{Name: "server-divisor", Usage: "divides the profile's numbers of servers, for small machines", Value: 1},
			&cli.IntFlag{Name: "hosts-per-zone", Usage: "entry hosts; 0 for those of the profile"},
			&cli.DurationFlag{Name: "service-time", Usage: "mean service time of backend servers; 0 for that of the profile"},
			&cli.BoolFlag{Name: "constant-time", Usage: "all requests take the mean service time; otherwise times are exponential"},
			&cli.StringFlag{Name: "cpu-profile", Usage: "file for a CPU profile of the whole deployment; without duration"},
			&cli.BoolFlag{Name: "policy-off", Usage: "baseline: one FIFO queue per server without ranks"},
			&cli.BoolFlag{Name: "external-hosts", Usage: "start no entry hosts; they are run as processes with the printed platform address"},
			&cli.DurationFlag{Name: "lose-server-after", Usage: "without duration: stop a backend server after this time; 0 for never"},
			&cli.BoolFlag{Name: "direct-server", Usage: "start one more server, outside the router, for parsleyctl load --direct"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the events of all hosts to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			logger := log.NewNopLogger()
			if c.Bool("verbose") {
				logger = newLogger()
			}
			var cpuProfile io.Writer
			if name := c.String("cpu-profile"); name != "" {
				file, err := os.Create(name)
				if err != nil {
					return err
				}
				defer file.Close()
				cpuProfile = file
			}
			return dev.Run(ctx, dev.Options{
				ConstantServiceTime: c.Bool("constant-time"), CPUProfile: cpuProfile,
				Duration: c.Duration("duration"), StopServerAtHalf: c.Bool("lose-server"), Seed: c.Uint64("seed"),
				Out: os.Stdout, Logger: logger, Profile: c.String("profile"), ServerDivisor: c.Int("server-divisor"),
				HostsPerZone: c.Int("hosts-per-zone"), ServiceTime: c.Duration("service-time"), PolicyOff: c.Bool("policy-off"),
				ExternalHosts: c.Bool("external-hosts"), StopServerAfter: c.Duration("lose-server-after"), DirectServer: c.Bool("direct-server"),
			})
		},
	}
}
