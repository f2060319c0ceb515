package main

import (
	"fmt"
	"time"
)

// bornEarlier lets a server crash whose time of day was ahead, and come back
// under its id with the time of day set right, so that its second lifetime has
// the lower `born`.
func bornEarlier(w *world, trouble bool) (string, error) {
	const ahead, watched = 2400 * time.Millisecond, 45 * time.Second
	w.configure()
	// The first server has the fewest GPUs, so that it gets the task.
	for _, gpus := range []int{4, 8} {
		if err := w.addServers(1, "b", room{128_000, 524_288, gpus}); err != nil {
			return "", err
		}
	}
	if err := w.addServers(10, "a", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	if err := w.addHosts(3); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	// The server starts, gets a task and crashes within ahead in both plays.
	x := w.servers[0]
	x.powerOff()
	time.Sleep(500 * time.Millisecond)
	if trouble {
		x.setAhead(ahead)
	}
	x.powerOn("b")
	time.Sleep(1300 * time.Millisecond)
	job := w.submit("recon", tenants[1].key, "ms=5000", step{Count: 1, CPU: 4000, Mem: 1000, GPU: 1, EstimateMs: 5000, Label: "b"})
	for deadline := time.Now().Add(500 * time.Millisecond); time.Now().Before(deadline) && len(w.runsAt(x)) == 0; {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	x.setAhead(0)
	x.powerOff()
	time.Sleep(200 * time.Millisecond)
	x.powerOn("b")
	crashedAt := time.Now()
	if len(w.runsOf(job)) == 0 || w.runsOf(job)[0].server != x {
		return "", fmt.Errorf("the task did not start on the server before its crash")
	}
	state := ""
	for time.Since(crashedAt) < watched {
		time.Sleep(3 * time.Second)
		if state = w.state("recon", tenants[1].key, job); state == "completed" {
			break
		}
	}
	runs := w.runsOf(job)
	w.rec("%.1f s after the crash the job is %s; its task has had %d runs, the last ended as %s", time.Since(crashedAt).Seconds(), state, len(runs), runs[len(runs)-1].how)
	if state != "completed" && len(runs) == 1 {
		return fmt.Sprintf("LOST: for %.0f s the job has nothing running and is %s, in an empty service", time.Since(runs[0].ended).Seconds(), state), nil
	}
	return "", nil
}
