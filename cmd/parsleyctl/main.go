// Command parsleyctl lets operators declare and watch resources.
package main

import (
	"context"
	"os"

	"parsleyrelay.example/cmd/internal/ctl"
)

func main() {
	os.Exit(ctl.Run(context.Background(), os.Args, os.Stdin, os.Stdout, os.Stderr))
}
