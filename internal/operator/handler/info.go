package handler

import (
	"fmt"

	"primrosespar.example/primrosespar/internal/operator/printer"
)

type codesCommand struct {
	Markdown bool `help:"Write docs/codes.md."`
}

// Run lists the result codes or writes their manual page.
func (c *codesCommand) Run(env *Env) error {
	if c.Markdown {
		_, err := fmt.Fprint(env.out, printer.CodesManual())
		return err
	}
	return env.printer.Codes()
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(env *Env) error {
	return env.printer.Text(struct {
		Version string `json:"version"`
	}{Version}, Version+"\n")
}
