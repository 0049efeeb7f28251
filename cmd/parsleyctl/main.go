// Command parsleyctl lets operators declare and watch resources, generates load, and runs
// the model of many hosts.
package main

import (
	"context"
	"os"

	"parsleyrelay.example/cmd/internal/ctl"
	"parsleyrelay.example/cmd/internal/ctl/loadcmd"
	"parsleyrelay.example/cmd/internal/ctl/modelcmd"
)

func main() {
	os.Exit(ctl.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr, loadcmd.Command(), modelcmd.Command()))
}
