package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"primrosespar.example/primrosespar/platform/standin"
)

// Figures of the advice service, as the operator's configuration names them.
const (
	decisionTime = 500 * time.Millisecond
	perItemTime  = 100 * time.Millisecond
	validity     = 10 * time.Second
	maxNamed     = 100
	maxWaiting   = 32
	advisedPath  = "/advised/"
)

// adviser is the advice service. It serves one call at a time for each calling
// machine, in turn, and approves each second worker.
type adviser struct {
	play *play

	mu      sync.Mutex
	waiting int
	turns   map[netip.Addr]*sync.Mutex
}

// startAdviser starts the advice service and returns its address.
func startAdviser(p *play) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	a := &adviser{play: p, turns: map[netip.Addr]*sync.Mutex{}}
	server := &http.Server{Handler: a, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > maxNamed {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	caller := netip.MustParseAddrPort(r.RemoteAddr).Addr()
	a.mu.Lock()
	if a.waiting >= maxWaiting {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	turn := a.turns[caller]
	if turn == nil {
		turn = &sync.Mutex{}
		a.turns[caller] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	takes := decisionTime + time.Duration(len(body.Workers))*perItemTime
	a.play.note("advice: step %s, %d workers named, the answer takes %v", body.Step, len(body.Workers), takes)
	time.Sleep(takes)
	turn.Unlock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	approved := [][2]string{}
	for _, worker := range body.Workers {
		if worker[len(worker)-1]%2 == 0 {
			approved = append(approved, [2]string{worker, "c81e-" + worker})
		}
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"approved": approved, "validityMs": validity.Milliseconds()})
}

// configureAdvice publishes a configuration with a queue whose work needs advice.
func configureAdvice(p *play) error {
	route := func(name, prefix string, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": standin.QueueHost, "pathPrefix": prefix, "service": "pool", "priority": priority,
			"timeoutMs": 3000, "targetDurationMs": 1000, "maxAttempts": 3, "slackFactor": 2.0,
		}
	}
	advised := route("q-advised", advisedPath, 1)
	advised["advice"] = map[string]int64{
		"decisionMs": decisionTime.Milliseconds(), "perItemMs": perItemTime.Milliseconds(), "validityMs": validity.Milliseconds(),
	}
	config, err := json.Marshal(map[string]any{
		"version":  7,
		"routes":   []any{route("q-urgent", standin.UrgentPrefix, 0), route("q-plain", standin.PlainPrefix, 1), advised},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15_000},
		"services": []any{map[string]any{"name": "pool", "enforcesCapacity": false}},
		"tenants":  []any{map[string]any{"name": "nord", "apiKeys": []string{standin.APIKey}, "guaranteed": map[string]int{"gpu": 8}}},
	})
	if err != nil {
		return err
	}
	return p.writeRows(map[string]any{
		"precondition": []any{}, "remove": []any{},
		"puts": []any{map[string]any{"table": "op", "part": "", "key": "config", "value": config}},
	})
}

// playAdvice plays a large job on a queue whose work needs advice.
func playAdvice(p *play) (string, error) {
	const job = "5c0e7a21d94b36f8"
	address, err := startAdviser(p)
	if err != nil {
		return "", err
	}
	p.extraSettings = fmt.Sprintf("advice = %q\n", address)
	if err := p.start(48, 2); err != nil {
		return "", err
	}
	if err := configureAdvice(p); err != nil {
		return "", err
	}
	time.Sleep(4 * time.Second)
	tasks := 1
	if p.trouble {
		tasks = 12
		p.note("trouble: a large job comes")
	}
	if err := p.submit(advisedPath+job, fmt.Sprintf(`{"spec":"ms=1000","steps":[{"count":%d,"cpu":1000,"memMb":256,"gpu":8,"estimateMs":1000}]}`, tasks)); err != nil {
		return "", err
	}
	// Jobs are asked for 14 s after the last of the traffic.
	broken := p.watchWithoutRun(job+".0.0.0", 14*time.Second, 25*time.Second)
	_, _ = p.call(p.hosts[0], http.MethodGet, advisedPath+job, "")
	return broken, nil
}
