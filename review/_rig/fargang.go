package main

import (
	"fmt"
	"time"
)

// farGang hands in a gang whose tasks all fit on one server, with the rack of
// servers in another region than that of the holder; without trouble, in the
// same.
func farGang(w *world, trouble bool) (string, error) {
	const (
		tasks   = 200
		reclaim = 3400 * time.Millisecond
		length  = 45 * time.Second
	)
	w.far = 30 * time.Millisecond
	w.configure()
	if err := w.addServers(24, "a", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	if err := w.addHosts(3); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	h := w.holder()
	if h == nil {
		return "", fmt.Errorf("no holder")
	}
	var rack, zone string
	for _, s := range w.servers {
		if (s.zone != h.zone) == trouble {
			rack, zone = s.rack, s.zone
			break
		}
	}
	w.rec("%s in %s leads; the job needs a rack in %s, calls there take %v one way", h.name, h.zone, zone, w.delayTo(w.servers[w.serverIn(zone)]))
	w.quiet = true
	job := w.submit("elig", tenants[0].key, "ms=2000", step{Count: tasks, CPU: 200, Mem: 100, EstimateMs: 2000, Gang: true, Label: rack})
	if job == "" {
		return "", fmt.Errorf("job not accepted")
	}
	acked := time.Now()
	state := ""
	for time.Since(acked) < length {
		time.Sleep(3 * time.Second)
		if state = w.state("elig", tenants[0].key, job); state == "completed" {
			break
		}
	}
	inTime, ever := map[string]bool{}, map[string]bool{}
	ends, perRun := map[string]int{}, map[uint64]int{}
	at := map[uint64]map[*server]bool{}
	most := 0
	for _, r := range w.runsOf(job) {
		ever[r.task] = true
		inTime[r.task] = inTime[r.task] || r.began.Sub(acked) <= reclaim
		if at[r.number] == nil {
			at[r.number] = map[*server]bool{}
		}
		at[r.number][r.server] = true
		ends[r.how]++
		perRun[r.number]++
		most = max(most, perRun[r.number])
	}
	begun := 0
	for _, in := range inTime {
		if in {
			begun++
		}
	}
	for run := uint64(1); run <= 64; run++ {
		if n := perRun[run]; n > 0 {
			w.rec("run %d: %d of %d tasks begun, at %d servers", run, n, tasks, len(at[run]))
		}
	}
	w.rec("%d of %d tasks had begun %v after the ack; %.0f s after it the job is %s, %d had ever begun, at most %d in one run; ends: %v", begun, tasks, reclaim, time.Since(acked).Seconds(), state, len(ever), most, ends)
	if w.holder() != h {
		return "", fmt.Errorf("another host leads")
	}
	if begun < tasks {
		return fmt.Sprintf("RECLAIM: %d of %d tasks begun after %v; the job is %s", begun, tasks, reclaim, state), nil
	}
	return "", nil
}

// serverIn returns the number of a server in the zone.
func (w *world) serverIn(zone string) int {
	for i, s := range w.servers {
		if s.zone == zone {
			return i
		}
	}
	return 0
}
