// Command parsleyrelayd is the daemon that runs on entry hosts.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/dev"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "parsleyrelayd",
		Usage:    "request router for servers that own keys exclusively",
		Commands: []*cli.Command{devCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
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
				logger = log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
				logger = log.With(logger, "ts", log.TimestampFormat(time.Now, time.RFC3339Nano))
			}
			return dev.Run(ctx, dev.Options{
				Duration: c.Duration("duration"), LoseServer: c.Bool("lose-server"), Seed: c.Uint64("seed"),
				Out: os.Stdout, Logger: logger,
			})
		},
	}
}
