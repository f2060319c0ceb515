// Command standin plays the platform and the upstreams in demonstrations and tests.
//
// # Usage
//
//	standin version
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

// version is the release that the binary was built from.
const version = "0.1.0"

// cli is the command line.
type cli struct {
	Version versionCommand `cmd:"" help:"Print the version."`
}

// versionCommand prints the version.
type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run() error {
	_, err := fmt.Fprintln(os.Stdout, version)
	return err
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("standin"))
	ctx.FatalIfErrorf(ctx.Run())
}
