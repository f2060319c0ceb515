package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/internal/standin/proxier"
	"primrosespar.example/primrosespar/platform/standin"
)

// Times of a soak.
const (
	// soakSettleTime is how long the hosts have to elect a lease holder.
	soakSettleTime = 2 * time.Second
	// soakDrainTimeout is how long the jobs may take to end after the faults.
	soakDrainTimeout = 45 * time.Second
	// soakStopTimeout is how long the hosts may take to stop.
	soakStopTimeout = 8 * time.Second
)

// soakCommand runs host processes of the fleet scheduler against the stand-in
// of the users' platform.
type soakCommand struct {
	Product string        `help:"Program of the hosts." default:"bin/primrosespar" type:"path"`
	Seed    uint64        `help:"Seed of jobs and faults." default:"1"`
	Load    time.Duration `help:"How long jobs and faults come." default:"20s"`
	Hosts   int           `help:"Number of hosts." default:"4"`
	Workers int           `help:"Number of workers." default:"16"`
	Rate    float64       `help:"Jobs a second." default:"6"`
	Keep    string        `help:"Directory for the logs; a temporary one by default." type:"path"`
	Calm    bool          `help:"Leave the faults out."`
}

// soakHost is one host with the proxy between it and the store.
type soakHost struct {
	name          string
	callerAddress string
	proxy         *proxier.Proxier
	settingsPath  string

	mu    sync.Mutex
	child *process
	// stopping is set from the signal that ends the process until its next
	// start.
	stopping bool
}

// soak is one run of the command.
type soak struct {
	soakCommand
	fleet     *standin.Fleet
	processes *processGroup
	hosts     []*soakHost
	client    *http.Client
}

// Run starts the hosts, runs the soak and fails if it found a violation.
func (c *soakCommand) Run() error {
	dir := c.Keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return eris.Wrap(err, "create work directory")
		}
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return eris.Wrap(err, "create work directory")
	}
	fleet, err := standin.New(standin.WithWorkers(c.Workers))
	if err != nil {
		return err
	}
	defer fleet.Close()
	s := &soak{
		soakCommand: *c, fleet: fleet, processes: &processGroup{dir: dir},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer s.processes.stop(soakStopTimeout)
	for i := range c.Hosts {
		if err := s.addHost(ctx, i, dir); err != nil {
			return err
		}
	}
	defer func() {
		for _, h := range s.hosts {
			h.proxy.Close()
		}
	}()
	time.Sleep(soakSettleTime)
	return s.run(ctx, dir)
}

// addHost writes the settings of a host and starts it behind a proxy to the
// store.
func (s *soak) addHost(ctx context.Context, index int, dir string) error {
	proxy, err := proxier.New(s.fleet.StoreAddress())
	if err != nil {
		return err
	}
	ip := fmt.Sprintf("127.0.1.%d", index+1)
	firstPort, err := freePorts(ip, 4)
	if err != nil {
		return err
	}
	h := &soakHost{name: fmt.Sprintf("host-%d", index), proxy: proxy, callerAddress: fmt.Sprintf("%s:%d", ip, firstPort)}
	h.settingsPath = filepath.Join(dir, h.name+".toml")
	settings := s.fleet.Settings(standin.HostSettings{
		Name: h.name, IP: ip, Callers: firstPort, Readiness: firstPort + 1, Peers: firstPort + 2, Store: proxy.Address(),
	})
	if err := os.WriteFile(h.settingsPath, []byte(settings), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	s.hosts = append(s.hosts, h)
	return s.startHost(ctx, h)
}

// freePorts returns the first of n consecutive ports that are free when it
// looks.
func freePorts(ip string, n int) (int, error) {
	const maxTries = 50
	for range maxTries {
		first, err := listen(ip + ":0")
		if err != nil {
			return 0, eris.Wrap(err, "find free port")
		}
		port := first.Addr().(*net.TCPAddr).Port
		listeners := []net.Listener{first}
		for offset := 1; offset < n; offset++ {
			if l, err := listen(fmt.Sprintf("%s:%d", ip, port+offset)); err == nil {
				listeners = append(listeners, l)
			}
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == n {
			return port, nil
		}
	}
	return 0, eris.New("found no consecutive free ports")
}

// listen listens on a loopback address.
func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}

// startHost starts the process of a host and waits until it logs that it has
// started.
func (s *soak) startHost(ctx context.Context, h *soakHost) error {
	child, err := s.processes.start(ctx, h.name, s.Product, []string{"fleet", "--settings", h.settingsPath}, func(line []byte) bool {
		return strings.Contains(string(line), "host has started")
	})
	h.mu.Lock()
	h.child, h.stopping = child, false
	h.mu.Unlock()
	return err
}

// run runs jobs and faults at the same time, waits for the jobs to end, and
// checks and prints the result.
func (s *soak) run(ctx context.Context, dir string) error {
	start := time.Now()
	load := newSoakLoad(s, rand.New(rand.NewPCG(s.Seed, 1)))
	var tasks conc.WaitGroup
	tasks.Go(func() { load.run(ctx, s.Load) })
	faults := newSoakFaults(s, rand.New(rand.NewPCG(s.Seed, 2)))
	if !s.Calm {
		tasks.Go(func() { faults.run(ctx, s.Load) })
	}
	tasks.Wait()
	load.drain(ctx, soakDrainTimeout)
	faults.checkWaves(soakDrainTimeout)
	writes, reads := s.fleet.Store().Calls()
	violations := s.fleet.Violations()
	fmt.Printf("seed %d: %d jobs (%d accepted, %d refused, %d with a known state), %d starts, %d store writes, %d reads, %d violations, %s\n",
		s.Seed, load.jobCount, load.accepted(), load.refused(), load.reported(), s.fleet.Starts(), writes, reads, len(violations),
		time.Since(start).Round(time.Second))
	for i, violation := range violations {
		if i == 10 {
			break
		}
		fmt.Println("  violation:", violation)
	}
	if len(violations) > 0 {
		fmt.Println("  logs:", dir)
		return eris.Errorf("seed %d: %d violations", s.Seed, len(violations))
	}
	if s.Keep == "" {
		_ = os.RemoveAll(dir)
	}
	return nil
}

// signal sends a signal to the process of the host, if it is running.
func (h *soakHost) signal(sig syscall.Signal) {
	if child := h.runningProcess(); child != nil {
		child.signal(sig)
	}
}

// beginStop marks the process as stopping and returns it, or nil if it is not
// running or already stopping.
func (h *soakHost) beginStop() *process {
	child := h.runningProcess()
	h.mu.Lock()
	defer h.mu.Unlock()
	if child == nil || h.stopping {
		return nil
	}
	h.stopping = true
	return child
}

// runningProcess returns the process of the host, or nil if it has ended.
func (h *soakHost) runningProcess() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.child == nil {
		return nil
	}
	select {
	case <-h.child.done:
		return nil
	default:
		return h.child
	}
}
