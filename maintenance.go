package primrosespar

import (
	"context"
	"time"
)

// Machine names a machine that carries workers, one lifetime after the other.
type Machine string

// MachineState is one machine of the fleet's provider.
type MachineState struct {
	Machine Machine
	// Worker is the lifetime that the machine carries now.
	Worker Worker
	// Up machines carry a worker; the others start, move, are maintained or
	// leave.
	Up bool
}

// Wave is an operator's request that each of its machines is maintained within
// the window, at most MaxUnavailable of them at once.
type Wave struct {
	Number         int
	Machines       []Machine
	Window         time.Duration
	MaxUnavailable int
}

// MaintenanceOrder takes one machine down for its maintenance. Everything that runs on
// it ends, and a new worker joins later. A repetition has no further effect.
type MaintenanceOrder struct {
	Machine Machine
	Wave    int
	Holder  Host
	Token   Token
}

// MaintenanceService is the provider of the machines and the operator's requests for their
// maintenance.
type MaintenanceService interface {
	// Waves returns all waves that were requested.
	Waves(ctx context.Context) ([]Wave, error)
	// Machines returns all machines.
	Machines(ctx context.Context) ([]MachineState, error)
	// Maintain begins maintenance. It fails with CodeStaleToken if the machine has
	// seen a later holder, CodeMachineBusy if it is not up, CodeNotFound if it
	// does not exist or is not in the wave. Any other failure may have had
	// effect.
	Maintain(ctx context.Context, m MaintenanceOrder) error
	// ReportWave tells the operator how far a wave is.
	ReportWave(ctx context.Context, wave int, completed bool) error
}
