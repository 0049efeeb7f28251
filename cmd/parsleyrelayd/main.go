// Command parsleyrelayd is the daemon that runs on entry hosts.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/dev"
	"parsleyrelay.example/core/finding"
	"parsleyrelay.example/relay/daemon"
	"parsleyrelay.example/relay/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "parsleyrelayd",
		Usage:    "request router for servers that own keys exclusively",
		Commands: []*cli.Command{runCommand(), devCommand()},
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

func newLogger() log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
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
			d, err := daemon.FromSettings(s, log.With(newLogger(), "host", s.Host, "zone", s.Zone))
			if err != nil {
				return err
			}
			return d.Run(ctx)
		},
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
			&cli.BoolFlag{Name: "verbose", Usage: "write the events of all hosts to standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			logger := log.NewNopLogger()
			if c.Bool("verbose") {
				logger = newLogger()
			}
			return dev.Run(ctx, dev.Options{
				Duration: c.Duration("duration"), LoseServer: c.Bool("lose-server"), Seed: c.Uint64("seed"),
				Out: os.Stdout, Logger: logger,
			})
		},
	}
}
