package main

import (
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// falseCrash lets the servers of one kind crash and come back several times, and
// kills the process that has just written to the store about a job that needs
// that kind.
func falseCrash(w *world, trouble bool) (string, error) {
	const kills, down, up, troubleTime = 4, 700 * time.Millisecond, 700 * time.Millisecond, 7 * time.Second
	w.restartDelay = time.Second
	w.configure()
	// Three of twenty servers are 15 %.
	if err := w.addServers(3, "b", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	if err := w.addServers(17, "a", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	if err := w.addHosts(4); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		ends := time.Now().Add(troubleTime)
		for i, s := range w.servers[:3] {
			go func() {
				time.Sleep(time.Duration(i) * (down + up) / 3)
				for time.Now().Before(ends) {
					s.powerOff()
					time.Sleep(down)
					s.powerOn("b")
					time.Sleep(up)
				}
			}()
		}
		var killed atomic.Int64
		w.store.setOnTransact(func(puts []storeRow) {
			about := slices.IndexFunc(puts, func(row storeRow) bool { return row.Table == "progress" })
			// Each transaction of a holder has its name in another row.
			if h := w.writer(puts); about >= 0 && h != nil && killed.Load() < kills {
				w.rec("the process of %s has written to the store about job %s and is killed (%d)", h.name, puts[about].Key, killed.Add(1))
				h.signal(syscall.SIGKILL)
			}
		})
		time.Sleep(200 * time.Millisecond)
	}
	job := w.submit("recon", tenants[1].key, "ms=400", step{Count: 1, CPU: 1000, Mem: 100, GPU: 1, EstimateMs: 400, Label: "b"})
	if job == "" {
		return "", fmt.Errorf("the job was not accepted")
	}
	state := ""
	for range 25 {
		time.Sleep(time.Second)
		if state = w.state("recon", tenants[1].key, job); state == "completed" || state == "failed" {
			break
		}
	}
	var runs []string
	failed, crashed := 0, 0
	for _, r := range w.runsOf(job) {
		runs = append(runs, fmt.Sprintf("run %d on %s: %s", r.number, r.id, r.how))
		switch r.how {
		case "failed":
			failed++
		case "crashed":
			crashed++
		}
	}
	w.rec("the job is %s; the servers have begun %d runs of it (%s): %d failed, %d ended with their server", state, len(runs), strings.Join(runs, "; "), failed, crashed)
	if state == "failed" && failed < 4 && crashed < 2 {
		return fmt.Sprintf("LOST: job %s is shown as failed without cause: the servers have begun %d runs of it, %d failed of 4 attempts, %d ended with their server", job, len(runs), failed, crashed), nil
	}
	return "", nil
}
