package handler

import (
	"context"
	"errors"
	"fmt"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/parser"
	"primrosespar.example/primrosespar/internal/document/decoder"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/operator/printer"
)

// contractCommands are the commands for contracts.
type contractCommands struct {
	Check   contractCheck   `cmd:"" help:"Check a contract document; with --offline only its own fields, without a host."`
	Apply   contractApply   `cmd:"" help:"Amend a contract. Names the version that is amended; a newer one gives a conflict."`
	Show    contractShow    `cmd:"" help:"Show a contract and how far it is in force."`
	History contractHistory `cmd:"" help:"List the amendments of a contract."`
	Delete  contractDelete  `cmd:"" help:"End a contract. Names the version that is ended; history goes on showing it."`
	Diff    contractDiff    `cmd:"" help:"Compare a document with the contract in force."`
}

type contractCheck struct {
	File    string `arg:"" help:"Contract document." type:"path"`
	Offline bool   `help:"Do not ask a host whether the guarantees pack."`
}

// Run parses the document locally first, so that its own errors are reported
// without a host.
func (c *contractCheck) Run(env *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	answer := caller.CheckAnswer{}
	if _, err = parser.Parse(data); err != nil {
		var fieldErrors decoder.FieldErrors
		errors.As(err, &fieldErrors)
		answer = caller.CheckAnswer{Code: primrosespar.CodeOf(err), FieldErrors: fieldErrors}
	} else if !c.Offline {
		if answer, err = env.caller.Check(context.Background(), data); err != nil {
			return err
		}
	}
	if err = env.printer.Check(answer); err != nil {
		return err
	}
	if answer.Code.Info().Exit != 0 {
		return primrosespar.Fail(answer.Code, "%s would be refused", c.File)
	}
	return nil
}

type contractApply struct {
	File      string `arg:"" help:"Contract document." type:"path"`
	Base      uint64 `required:"" help:"Version that is amended; 0 for a new contract."`
	Amendment string `help:"Id of the amendment; give the same id to send it again after an unknown outcome." placeholder:"ID"`
}

// Run amends the contract with the document.
func (c *contractApply) Run(env *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	contract, err := parser.Parse(data)
	if err != nil {
		return err
	}
	id := c.Amendment
	if id == "" {
		id = newID()
	}
	answer, err := env.caller.Apply(context.Background(), contract.Account, primrosespar.Version(c.Base), id, data)
	if err != nil {
		return addRetryHint(err, id)
	}
	return env.printer.Contract(answer)
}

// addRetryHint tells how to retry an amendment whose outcome is unknown. It
// returns other errors as they are.
func addRetryHint(err error, id string) error {
	var failure *primrosespar.Failure
	if errors.As(err, &failure) && failure.Ran == primrosespar.RanUnknown {
		return primrosespar.FailUnknown(failure.Code, "amendment %s: retry with --amendment %s", id, id).WithCause(err)
	}
	return err
}

type contractDelete struct {
	Account   string `arg:"" help:"Client account."`
	Base      uint64 `required:"" help:"Version that is ended."`
	Amendment string `help:"Id of the amendment; give the same id to send it again after an unknown outcome." placeholder:"ID"`
}

// Run ends the contract.
func (c *contractDelete) Run(env *Env) error {
	id := c.Amendment
	if id == "" {
		id = newID()
	}
	answer, err := env.caller.Delete(context.Background(), primrosespar.Account(c.Account), primrosespar.Version(c.Base), id)
	if err != nil {
		return addRetryHint(err, id)
	}
	return env.printer.Contract(answer)
}

type contractShow struct {
	Account string `arg:"" help:"Client account."`
}

// Run shows the contract.
func (c *contractShow) Run(env *Env) error {
	answer, err := env.caller.Contract(context.Background(), primrosespar.Account(c.Account))
	if err != nil {
		return err
	}
	return env.printer.Contract(answer)
}

type contractHistory struct {
	Account string `arg:"" help:"Client account."`
}

// Run lists the amendments.
func (c *contractHistory) Run(env *Env) error {
	answer, err := env.caller.History(context.Background(), primrosespar.Account(c.Account))
	if err != nil {
		return err
	}
	return env.printer.History(answer)
}

type contractDiff struct {
	File string `arg:"" help:"Contract document." type:"path"`
}

// diffAnswer is the JSON output of a comparison.
type diffAnswer struct {
	Account primrosespar.Account `json:"account"`
	Version primrosespar.Version `json:"version"`
	Diff    string               `json:"diff"`
}

// Run compares the canonical forms, so that the order of fields and comments do
// not matter.
func (c *contractDiff) Run(env *Env) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	contract, err := parser.Parse(data)
	if err != nil {
		return err
	}
	answer, err := env.caller.Contract(context.Background(), contract.Account)
	if err != nil {
		return err
	}
	if answer.Deleted {
		return primrosespar.Fail(primrosespar.CodeUnknownAccount, "the contract of %s ended with version %d", contract.Account, answer.Version)
	}
	current, err := parser.Parse([]byte(answer.Document))
	if err != nil {
		return err
	}
	before, err := parser.Canonical(current)
	if err != nil {
		return err
	}
	after, err := parser.Canonical(contract)
	if err != nil {
		return err
	}
	diff := ""
	if string(before) != string(after) {
		diff = printer.Diff(string(before), string(after))
	}
	output := diff
	if diff == "" {
		output = fmt.Sprintf("no difference from version %d of %s\n", answer.Version, contract.Account)
	}
	return env.printer.Text(diffAnswer{contract.Account, answer.Version, diff}, output)
}
