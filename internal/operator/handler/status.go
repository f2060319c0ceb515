package handler

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
)

type statusCommand struct{}

// Run shows the state of the host's place.
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

// Run shows the decisions about the ID.
func (c *explainCommand) Run(env *Env) error {
	answer, err := env.caller.Explain(context.Background(), c.ID)
	if err != nil {
		return err
	}
	return env.printer.Text(answer, answer.Explanation)
}

type incidentCommands struct {
	Report incidentReport `cmd:"" help:"Write the public report of a period in Markdown."`
}

type incidentReport struct {
	From time.Time `required:"" help:"Start, such as 2026-03-01T02:00:00Z."`
	To   time.Time `required:"" help:"End."`
}

// Run writes the incident report.
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
