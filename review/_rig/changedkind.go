package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// changedKind lets servers crash and come back under their ids as another kind,
// while jobs need the kind that they had.
func changedKind(w *world, trouble bool) (string, error) {
	w.configure()
	if err := w.addServers(20, "a", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	// Every second server is of the other kind.
	for i, s := range w.servers {
		if i%2 == 1 {
			s.powerOff()
			s.powerOn("b")
		}
	}
	if err := w.addHosts(3); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var jobs []string
	end := time.Now().Add(14 * time.Second)
	for range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				if id := w.submit("recon", tenants[1].key, "ms=600", step{Count: 8, CPU: 4000, Mem: 1000, GPU: 1, EstimateMs: 600, Label: "b"}); id != "" {
					mu.Lock()
					jobs = append(jobs, id)
					mu.Unlock()
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		// Three of twenty servers are 15 %.
		for _, i := range []int{1, 3, 5} {
			w.servers[i].powerOff()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, i := range []int{1, 3, 5} {
			w.servers[i].powerOn("a")
		}
	}
	clients.Wait()
	time.Sleep(3 * time.Second)
	var wrong []string
	runs := 0
	for _, id := range jobs {
		for _, r := range w.runsOf(id) {
			runs++
			if r.kind != "b" {
				wrong = append(wrong, fmt.Sprintf("%s run %d at %.3f on %s", r.task, r.number, r.began.Sub(w.began).Seconds(), r.id))
			}
		}
	}
	w.rec("%d jobs that need the label b, %d runs, %d of them on a server of kind a", len(jobs), runs, len(wrong))
	if runs == 0 {
		return "", fmt.Errorf("nothing ran")
	}
	if len(wrong) > 0 {
		return fmt.Sprintf("ROUTE: %d starts on servers without the label b, the first: %s", len(wrong), strings.Join(wrong[:min(3, len(wrong))], "; ")), nil
	}
	return "", nil
}
