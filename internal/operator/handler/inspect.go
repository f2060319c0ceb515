package handler

import (
	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/inspector"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

// Inspection is a check of the configuration of a fleet before it is sent. The
// command that embeds it knows the documents of the platform.
type Inspection struct {
	File     string `arg:"" help:"Configuration, as it would be sent." type:"path"`
	Against  string `help:"Configuration in force; shows who gains or loses what." type:"path" placeholder:"FILE"`
	Settings string `help:"Settings file of a host, which names the regions of the installation." type:"path" placeholder:"FILE"`
	Strict   bool   `help:"Fail on warnings too."`
}

// DraftParser parses a configuration and returns notes on it.
type DraftParser func(data []byte) (primrosespar.CatalogDraft, []primrosespar.Finding, error)

// Inspect prints the findings. Without regions, those of the configuration are
// not checked. It returns an error if the configuration should not be sent.
func (e *Env) Inspect(i Inspection, regions []primrosespar.Region, parse DraftParser) error {
	draft, findings, err := readDraft(i.File, parse)
	if err != nil {
		return err
	}
	inspect := inspector.New(regions)
	findings = append(findings, inspect.Inspect(draft)...)
	if i.Against != "" {
		inForce, _, err := readDraft(i.Against, parse)
		if err != nil {
			return err
		}
		findings = append(findings, inspect.Compare(inForce, draft)...)
	}
	answer := printer.NewInspection(findings)
	if err := e.printer.Inspection(answer); err != nil {
		return err
	}
	if answer.Errors > 0 || i.Strict && answer.Warnings > 0 {
		return primrosespar.Fail(primrosespar.CodeBadRequest, "%s should not be sent: errors %d, warnings %d", i.File, answer.Errors, answer.Warnings)
	}
	return nil
}

// readDraft reads and parses a configuration.
func readDraft(path string, parse DraftParser) (primrosespar.CatalogDraft, []primrosespar.Finding, error) {
	data, err := readFile(path)
	if err != nil {
		return primrosespar.CatalogDraft{}, nil, err
	}
	draft, notes, err := parse(data)
	if err != nil {
		return draft, nil, primrosespar.Fail(primrosespar.CodeOf(err), "%s", path).WithCause(err)
	}
	return draft, notes, nil
}
