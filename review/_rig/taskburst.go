package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Sizes of the burst. Its tasks together are as many as the brief wants to have
// at work, and use under half of the servers' room. A spec has 3,809 bytes.
const (
	burstJobs        = 3
	burstSteps       = 5
	burstTasks       = 3800
	burstTasksCalm   = 40
	endsOfOneProcess = 3
)

// taskBurst hands in jobs of many small tasks at once, beside ordinary ones.
func taskBurst(w *world, trouble bool) (string, error) {
	w.quiet = true
	w.configure()
	if err := w.addServers(48, "a", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	if err := w.addHosts(3); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	tasks := burstTasksCalm
	if trouble {
		tasks = burstTasks
	}
	var clients sync.WaitGroup
	var mu sync.Mutex
	accepted := 0
	for range burstJobs {
		clients.Add(1)
		go func() {
			defer clients.Done()
			steps := make([]step, burstSteps)
			for i := range steps {
				steps[i] = step{Count: tasks, CPU: 50, Mem: 64, EstimateMs: 600_000}
			}
			if w.submit("recalc", tenants[1].key, "ms=600000"+strings.Repeat(" x", 1900), steps...) != "" {
				mu.Lock()
				accepted++
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	w.rec("%d of the %d jobs of the burst were accepted, %d tasks", accepted, burstJobs, accepted*burstSteps*tasks)
	var ordinary []string
	for i := range 100 {
		time.Sleep(time.Second)
		var line []string
		often := 0
		for _, h := range w.hosts {
			line = append(line, fmt.Sprintf("%s %d MB, %d ends", h.name, h.memory(), h.endCount()))
			if h.endCount() >= endsOfOneProcess {
				often++
			}
		}
		w.rec("%s", strings.Join(line, "; "))
		if i%10 == 5 {
			if id := w.submit("elig", tenants[0].key, "ms=500", step{Count: 1, CPU: 1000, Mem: 100, GPU: 1, EstimateMs: 500}); id != "" {
				ordinary = append(ordinary, id)
			}
		}
		if often >= 2 || !trouble && i > 25 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	waiting := 0
	for _, id := range ordinary {
		if state := w.state("elig", tenants[0].key, id); state != "completed" {
			waiting++
		}
	}
	w.rec("%d of %d ordinary jobs of half a second that were accepted are not completed", waiting, len(ordinary))
	return w.fault(), nil
}

// fault returns how the rule on processes that end by themselves was broken, or
// "": on a tenth of the machines, two at least, three times each.
func (w *world) fault() string {
	var ends []string
	often := 0
	for _, h := range w.hosts {
		ends = append(ends, fmt.Sprintf("%s %d", h.name, h.endCount()))
		if h.endCount() >= endsOfOneProcess {
			often++
		}
	}
	w.rec("processes that ended over their memory: %s", strings.Join(ends, ", "))
	if often < 2 {
		return ""
	}
	return "Fault: processes went over their memory and ended, by machine: " + strings.Join(ends, ", ")
}
