// Command egretmux is the command-line client for operators and submitters.
package main

import (
	"os"

	"github.com/egretmux/egretmux/internal/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
