package main

import (
	"maps"
	"slices"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/handler"
	"primrosespar.example/primrosespar/platform"
)

// fleetCheck checks a configuration before it is sent. It sends nothing.
type fleetCheck struct {
	handler.Inspection
}

// Run prints the findings.
func (c *fleetCheck) Run(env *handler.Env) error {
	var regions []primrosespar.Region
	if c.Settings != "" {
		settings, err := platform.ReadSettings(c.Settings)
		if err != nil {
			return err
		}
		regions = slices.Collect(maps.Values(settings.Places))
	}
	return env.Inspect(c.Inspection, regions, platform.ParseDraft)
}
