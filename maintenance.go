package primrosespar

import (
	"context"
	"time"
)

// Machine is the name of a machine that runs one worker at a time.
type Machine string

// MachineState is one machine of the fleet's provider.
type MachineState struct {
	Machine Machine
	// Worker is the worker that the machine runs now.
	Worker Worker
	// Up reports whether the machine runs a worker. Otherwise it is starting,
	// moving, in maintenance or leaving.
	Up bool
}

// MachineList is a list of the machines of the fleet's provider.
type MachineList struct {
	Machines []MachineState
	// Complete is set if Machines has all machines. If not, a machine that is
	// not listed may be there all the same.
	Complete bool
}

// Wave is an operator's request for maintenance of each of the machines within
// the window, at most MaxUnavailable of them at once.
type Wave struct {
	Number         int
	Machines       []Machine
	Window         time.Duration
	MaxUnavailable int
}

// MaintenanceOrder takes one machine down for maintenance. Everything that runs
// on it ends, and it joins again later with a new worker. Repeating an order
// has no further effect.
type MaintenanceOrder struct {
	Machine Machine
	Wave    int
	Holder  Host
	Token   Token
}

// MaintenanceService is the API of the provider of the machines, through which
// the operator also requests maintenance.
type MaintenanceService interface {
	// Waves returns all requested waves.
	Waves(ctx context.Context) ([]Wave, error)
	// Machines returns the machines.
	Machines(ctx context.Context) (MachineList, error)
	// Maintain begins the maintenance of a machine. It fails with
	// CodeStaleToken if the machine has seen a later holder, with
	// CodeMachineBusy if it is not up, and with CodeNotFound if it does not
	// exist or is not in the wave. After any other failure the order may have
	// taken effect.
	Maintain(ctx context.Context, m MaintenanceOrder) error
	// ReportWave tells the operator that a wave is in progress or completed.
	ReportWave(ctx context.Context, wave int, completed bool) error
}
