// Package ctl assembles the commands of parsleyctl.
package ctl

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"parsleyrelay.example/cmd/internal/ctl/commands"
	"parsleyrelay.example/cmd/internal/ctl/exit"
	"parsleyrelay.example/cmd/internal/ctl/queries"
	"parsleyrelay.example/cmd/internal/ctl/session"
)

const description = `Exit codes: 0 success; 1 failure, a change was certainly not accepted or a query
had no response; 2 bad arguments, settings or manifests; 3 conflict with another
change; 4 the outcome of a change is unknown.`

// Run runs parsleyctl and returns its exit code. extraCommands are added to the
// built-in commands; the load generator is one.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer, extraCommands ...*cli.Command) int {
	root := &cli.Command{
		Name:                  "parsleyctl",
		Usage:                 "declare and watch the resources of parsleyrelay",
		Description:           description,
		Reader:                in,
		Writer:                out,
		ErrWriter:             errOut,
		Flags:                 session.Flags(),
		Commands:              slices.Concat(commands.All(), queries.All(), extraCommands),
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {}, // Run reports errors itself
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Present() {
				return exit.Errorf(exit.BadInput, "%q is not a command; see parsleyctl help", cmd.Args().First())
			}
			return cli.ShowAppHelp(cmd)
		},
	}
	assignUsageErrorCode(root)
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintln(errOut, err)
	}
	return exit.CodeOf(err)
}

// assignUsageErrorCode makes usage errors of cmd and its subcommands return the
// exit code BadInput.
func assignUsageErrorCode(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &exit.Error{Code: exit.BadInput, Err: err}
	}
	for _, sub := range cmd.Commands {
		assignUsageErrorCode(sub)
	}
}
