package main

import (
	"context"
	"sync"
	"syscall"
	"time"

	"primrosespar.example/primrosespar/platform/standin"
)

// Times of the faults beside thousands of ends.
const (
	// endsFaultLead is how long before the first ends the fault begins.
	endsFaultLead = 300 * time.Millisecond
	endsSilence   = 3500 * time.Millisecond
	endsDowntime  = 500 * time.Millisecond
)

// endsDisturber injects a fault when the tasks of a job are about to end at once,
// each kind in turn.
type endsDisturber struct {
	soak  *soak
	mu    sync.Mutex
	count int
}

// disturb waits until the tasks of the job are about to end and plays the next
// fault. It returns once the fault is over.
func (e *endsDisturber) disturb(ctx context.Context, j *soakJob) {
	if !e.awaitStart(j) {
		return
	}
	time.Sleep(endsJobWork - endsFaultLead)
	e.mu.Lock()
	e.count++
	kind := e.count % 3
	e.mu.Unlock()
	switch kind {
	case 0:
		e.silenceStore(j)
	case 1:
		e.silenceWorkers(j)
	default:
		e.killHolder(ctx, j)
	}
}

// awaitStart waits until tasks of the job have started and reports whether they
// have.
func (e *endsDisturber) awaitStart(j *soakJob) bool {
	first := j.Tasks()[0]
	for expired := time.Now().Add(soakDrainTimeout); time.Now().Before(expired); time.Sleep(10 * time.Millisecond) {
		if e.soak.fleet.Started(first) {
			return true
		}
	}
	return false
}

// silenceStore lets the store answer nothing for a while.
func (e *endsDisturber) silenceStore(j *soakJob) {
	e.soak.fleet.Remark("store is silent as the tasks of job " + j.ID + " end")
	e.soak.fleet.Store().SetFaults(standin.StoreFaults{Silent: true})
	time.Sleep(endsSilence)
	e.soak.fleet.Store().SetFaults(standin.StoreFaults{})
}

// silenceWorkers lets no worker answer for a while.
func (e *endsDisturber) silenceWorkers(j *soakJob) {
	e.soak.fleet.Remark("workers are silent as the tasks of job " + j.ID + " end")
	for _, w := range e.soak.fleet.Workers() {
		w.SetFaults(standin.WorkerFaults{Silent: true})
	}
	time.Sleep(endsSilence)
	for _, w := range e.soak.fleet.Workers() {
		w.SetFaults(standin.WorkerFaults{})
	}
}

// killHolder kills the lease holder and starts its host again.
func (e *endsDisturber) killHolder(ctx context.Context, j *soakJob) {
	holder, err := e.soak.holder()
	if err != nil || holder == nil {
		e.soak.fleet.Remark("no holder to kill as the tasks of job " + j.ID + " end")
		return
	}
	child := holder.beginStop()
	if child == nil {
		return
	}
	e.soak.fleet.Remark("holder " + holder.name + " is killed as the tasks of job " + j.ID + " end")
	child.signal(syscall.SIGCONT)
	child.signal(syscall.SIGKILL)
	<-child.done
	time.Sleep(endsDowntime)
	if err := e.soak.startHost(ctx, holder); err != nil {
		e.soak.fleet.ReportViolation("host %s did not start: %v", holder.name, err)
	}
}
