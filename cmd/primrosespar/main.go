// Command primrosespar runs the daemon of an entry host or the scheduler of a
// fleet, and the commands of their operators.
//
// # Usage
//
//	primrosespar contract apply nord.contract.toml --base 3
//	primrosespar --help
package main

import (
	"os"

	"github.com/alecthomas/kong"

	"primrosespar.example/primrosespar/internal/operator/handler"
)

//go:generate env UPDATE_DOCS=1 go test -count=1 -run ManualIsCurrent primrosespar.example/primrosespar/internal/...

// usageExitCode is the exit code for an invalid command line.
const usageExitCode = 2

// cli defines the command line.
type cli struct {
	handler.Commands
	Entry entryCommand  `cmd:"" help:"Run the daemon of an entry host."`
	Fleet fleetCommands `cmd:"" help:"Run and ask the scheduler of a fleet on the users' platform."`
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run parses the command line, runs the command and returns the exit code.
func run(args []string) int {
	var c cli
	parser := kong.Must(&c, handler.KongOptions()...)
	ctx, err := parser.Parse(args)
	if err != nil {
		parser.Errorf("%s", err)
		return usageExitCode
	}
	return handler.Run(ctx, &c.Commands, os.Stdout, os.Stderr)
}
