package main

import (
	"fmt"
	"strings"
	"time"
)

// overlaps returns the pairs of runs of one task that were at work at the same
// time.
func (w *world) overlaps(job string) []string {
	runs := w.runsOf(job)
	now := time.Now()
	end := func(r runInfo) time.Time {
		if r.ended.IsZero() {
			return now
		}
		return r.ended
	}
	at := func(t time.Time) float64 { return t.Sub(w.began).Seconds() }
	var found []string
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.task == b.task && a.began.Before(end(b)) && b.began.Before(end(a)) {
				found = append(found, fmt.Sprintf("%s: run %d on %s from %.3f to %.3f s, run %d on %s from %.3f to %.3f s",
					a.task, a.number, a.id, at(a.began), at(end(a)), b.number, b.id, at(b.began), at(end(b))))
			}
		}
	}
	return found
}

// lateReborn cuts a server off that carries a start out late, and lets it crash
// behind the cut and come back under its id.
func lateReborn(w *world, trouble bool) (string, error) {
	const lateBy, cutTime = 9 * time.Second, 12 * time.Second
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
	// All servers have been up for a while.
	for _, s := range w.servers {
		s.age(100 * time.Second)
	}
	if err := w.addHosts(3); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	x := w.servers[0]
	arrived := make(chan struct{}, 100)
	if trouble {
		x.mu.Lock()
		x.late = func(path string) (time.Duration, bool) {
			if path == "/run-start" {
				arrived <- struct{}{}
			}
			return lateBy, path == "/run-start"
		}
		x.mu.Unlock()
	}
	job := w.submit("recon", tenants[1].key, "ms=11000", step{Count: 1, CPU: 4000, Mem: 1000, GPU: 1, EstimateMs: 11_000, Label: "b"})
	if job == "" {
		return "", fmt.Errorf("the job was not accepted")
	}
	if trouble {
		select {
		case <-arrived:
		case <-time.After(10 * time.Second):
			return "", fmt.Errorf("no start reached the server")
		}
		time.Sleep(100 * time.Millisecond)
		x.setCut(true)
		cutAt := time.Now()
		time.Sleep(2 * time.Second)
		x.powerOff()
		time.Sleep(time.Second)
		x.powerOn("b")
		time.Sleep(cutTime - time.Since(cutAt))
		x.setCut(false)
	}
	for range 12 {
		time.Sleep(2 * time.Second)
		if w.state("recon", tenants[1].key, job) == "completed" {
			break
		}
	}
	if len(w.runsOf(job)) == 0 {
		return "", fmt.Errorf("nothing ran")
	}
	if found := w.overlaps(job); len(found) > 0 {
		return "TWICE: " + strings.Join(found, "; "), nil
	}
	return "", nil
}
