package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crowdSize is the number of clients at each host that send large bodies.
const crowdSize = 60

// largeBodies lets clients send whole bodies of legal size at once, beside
// ordinary callers.
func largeBodies(w *world, trouble bool) (string, error) {
	w.quiet = true
	w.configure()
	if err := w.addServers(12, "a", room{128_000, 524_288, 8}); err != nil {
		return "", err
	}
	if err := w.addHosts(3); err != nil {
		return "", err
	}
	if err := w.startHosts(); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	// A job of 200 steps, the last of which name the first one many times over.
	after := "[0" + strings.Repeat(",0", 15_999) + "]"
	body := []byte(`{"spec":"ms=300","steps":[{"count":1}` + strings.Repeat(`,{"count":1}`, 191) + strings.Repeat(`,{"count":1,"after":`+after+`}`, 8) + `]}`)
	var crowd, ordinary sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	stop := make(chan struct{})
	if trouble {
		w.rec("%d clients at each host send whole jobs of %d bytes, of at most 262144", crowdSize, len(body))
		for _, h := range w.hosts {
			for range crowdSize {
				crowd.Add(1)
				go func() {
					defer crowd.Done()
					for {
						select {
						case <-stop:
							return
						case <-time.After(100 * time.Millisecond):
						}
						status, _ := w.call(h, "POST", "/recon/"+newID(), tenants[1].key, body, 3*time.Second)
						mu.Lock()
						answers[status]++
						mu.Unlock()
					}
				}()
			}
		}
	}
	// Ordinary callers hand in a small job each second. Each tries four times more.
	var sent, served atomic.Int64
	limit := 85
	if !trouble {
		limit = 20
	}
	for i := range limit {
		ordinary.Add(1)
		sent.Add(1)
		go func() {
			defer ordinary.Done()
			id := newID()
			for attempt := range 5 {
				h := w.hosts[(i+attempt)%len(w.hosts)]
				status, text := w.call(h, "POST", "/elig/"+id, tenants[0].key, []byte(`{"spec":"ms=300","steps":[{"count":1,"cpu":1000,"memMb":100,"gpu":1,"estimateMs":300}]}`), 3*time.Second)
				w.rec("ordinary caller: POST /elig/%s at %s -> %d %s", id, h.name, status, text)
				if status == http.StatusOK {
					served.Add(1)
					return
				}
				time.Sleep(time.Second)
			}
		}()
		time.Sleep(time.Second)
		often := 0
		var line []string
		for _, h := range w.hosts {
			line = append(line, fmt.Sprintf("%s %d MB, %d ends", h.name, h.memory(), h.endCount()))
			if h.endCount() >= endsOfOneProcess {
				often++
			}
		}
		w.rec("%s", strings.Join(line, "; "))
		if often >= 2 {
			break
		}
	}
	close(stop)
	crowd.Wait()
	ordinary.Wait()
	for status, n := range answers {
		w.rec("the clients with large bodies got %d answers %d", n, status)
	}
	w.rec("ordinary callers: %d jobs, %d accepted", sent.Load(), served.Load())
	if !trouble && served.Load() < sent.Load() {
		return "", fmt.Errorf("%d of %d ordinary jobs were accepted without any trouble", served.Load(), sent.Load())
	}
	return w.fault(), nil
}
