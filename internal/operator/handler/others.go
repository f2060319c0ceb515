package handler

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

type statusCommand struct{}

// Run shows the state of the place.
func (statusCommand) Run(env *Env) error {
	answer, err := env.caller.Status(context.Background())
	if err != nil {
		return err
	}
	return env.printer.Status(answer)
}

type explainCommand struct {
	ID string `arg:"" help:"Request, job, worker, upstream or contract."`
}

// Run explains the id.
func (c *explainCommand) Run(env *Env) error {
	answer, err := env.caller.Explain(context.Background(), c.ID)
	if err != nil {
		return err
	}
	return env.printer.Text(answer, answer.Story)
}

type incidentCommands struct {
	Report incidentReport `cmd:"" help:"Write the public report of a period in Markdown."`
}

type incidentReport struct {
	From time.Time `required:"" help:"Start, such as 2026-03-01T02:00:00Z."`
	To   time.Time `required:"" help:"End."`
}

// Run writes the report.
func (c *incidentReport) Run(env *Env) error {
	if !c.From.Before(c.To) {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "--from %s is not before --to %s",
			c.From.Format(time.RFC3339), c.To.Format(time.RFC3339))
	}
	answer, err := env.caller.Incidents(context.Background(), c.From, c.To)
	if err != nil {
		return err
	}
	return env.printer.Text(answer, answer.Markdown)
}

// configCommands are the commands for settings.
type configCommands struct {
	Check configCheck `cmd:"" help:"Check a settings file."`
	Print configPrint `cmd:"" help:"Print the settings of a file with their defaults and without tokens."`
}

type configCheck struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run checks the file.
func (c *configCheck) Run(env *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, err = configurer.Parse(data); err != nil {
		return err
	}
	return env.printer.Text(struct {
		Code primrosespar.Code `json:"code"`
	}{}, "ok\n")
}

type configPrint struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run prints the settings.
func (c *configPrint) Run(env *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	settings, err := configurer.Parse(data)
	if err != nil {
		return err
	}
	text, err := configurer.Canonical(settings)
	if err != nil {
		return err
	}
	return env.printer.Text(json.RawMessage(text), string(text)+"\n")
}

type codesCommand struct {
	Markdown bool `help:"Write docs/codes.md."`
}

// Run lists the codes.
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
