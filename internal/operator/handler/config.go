package handler

import (
	"encoding/json"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/configurer"
)

// configCommands are the commands for settings files.
type configCommands struct {
	Check configCheck `cmd:"" help:"Check a settings file."`
	Print configPrint `cmd:"" help:"Print the settings of a file with their defaults and without tokens."`
}

type configCheck struct {
	File string `arg:"" help:"Settings file." type:"path"`
}

// Run checks the settings file.
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

// Run prints the settings with their defaults and without tokens.
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
