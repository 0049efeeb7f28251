// Command parsleyctl lets operators declare and watch resources, and generates load.
package main

import (
	"context"
	"os"

	"parsleyrelay.example/cmd/internal/ctl"
	"parsleyrelay.example/cmd/internal/ctl/loadcmd"
)

func main() {
	os.Exit(ctl.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr, loadcmd.Command()))
}
