// Package accountant adds up the work that a fleet has thrown away, by cause.
// It does no I/O.
//
// # Usage
//
//	a := accountant.New()
//	coreSeconds := a.Add(primrosespar.LossPreempted, step.Need, worked)
//	for _, loss := range a.Losses() { ... }
//
// Work is counted in core-seconds, with an accelerator as 8 cores, so that the
// losses of tasks of any shape can be compared.
package accountant

import (
	"sync"
	"time"

	"primrosespar.example/primrosespar"
)

// coresPerAccelerator is the weight of an accelerator in cores.
const coresPerAccelerator = 8

// millicoresPerCore is the number of millicores of a core.
const millicoresPerCore = 1000

// Accountant holds the lost work by cause. It is safe for concurrent use.
type Accountant struct {
	mu     sync.Mutex
	losses map[primrosespar.LossCause]primrosespar.FleetLoss
}

// New returns an Accountant without losses.
func New() *Accountant {
	return &Accountant{losses: map[primrosespar.LossCause]primrosespar.FleetLoss{}}
}

// Add counts one run that had the resources for the given time, and returns the
// core-seconds that were lost with it. Runs that lost no work are not counted.
func (a *Accountant) Add(cause primrosespar.LossCause, need primrosespar.Resources, worked time.Duration) float64 {
	coreSeconds := Cores(need) * worked.Seconds()
	if coreSeconds <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	loss := a.losses[cause]
	loss.Cause = cause
	loss.Runs++
	loss.CoreSeconds += coreSeconds
	a.losses[cause] = loss
	return coreSeconds
}

// Cores returns the resources in cores.
func Cores(need primrosespar.Resources) float64 {
	return float64(need.Millicores)/millicoresPerCore + coresPerAccelerator*float64(need.Accelerators)
}

// Losses returns the losses of all causes for which work was lost.
func (a *Accountant) Losses() []primrosespar.FleetLoss {
	a.mu.Lock()
	defer a.mu.Unlock()
	var losses []primrosespar.FleetLoss
	for _, cause := range primrosespar.LossCauses() {
		if loss, ok := a.losses[cause]; ok {
			losses = append(losses, loss)
		}
	}
	return losses
}

// Lost returns the core-seconds that were lost for the cause.
func (a *Accountant) Lost(cause primrosespar.LossCause) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.losses[cause].CoreSeconds
}
