package main

import (
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
)

// minOperatorToken is the least length of the token of operators in characters,
// as in the settings of an entry host.
const minOperatorToken = 16

// readOperatorToken returns the authorizer of the token in the file, nil without
// a file.
func readOperatorToken(path string) (*authorizer.Authorizer, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read the token of operators")
	}
	secret := strings.TrimSpace(string(data))
	if len(secret) < minOperatorToken {
		return nil, primrosespar.Fail(primrosespar.CodeOutOfRange, "the token of operators in %s has fewer than %d characters", path, minOperatorToken)
	}
	return authorizer.New(authorizer.Token{Secret: secret, Role: authorizer.RoleOperator}), nil
}

// addEvacuationMetrics adds the metrics of the places that are emptied. They are
// 0 at hosts that do not hold the fleet lease.
func (h *fleetHost) addEvacuationMetrics() {
	h.meter.Gauge("primrosespar_evacuated_places", func() float64 {
		places := map[primrosespar.Place]bool{}
		for _, evacuation := range h.daemon.Evacuations() {
			places[evacuation.Place] = true
		}
		return float64(len(places))
	})
	h.meter.Gauge("primrosespar_evacuated_runs", func() float64 {
		runs := map[primrosespar.Place]int{}
		for _, evacuation := range h.daemon.Evacuations() {
			runs[evacuation.Place] = evacuation.Runs
		}
		total := 0
		for _, n := range runs {
			total += n
		}
		return float64(total)
	})
	h.meter.Gauge("primrosespar_oldest_evacuation_seconds", func() float64 {
		oldest := time.Duration(0)
		for _, evacuation := range h.daemon.Evacuations() {
			oldest = max(oldest, h.clock.Since(evacuation.RequestedAt))
		}
		return oldest.Seconds()
	})
}
