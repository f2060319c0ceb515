package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"primrosespar.example/primrosespar/platform/standin"
)

// Sizes and times of a play.
const (
	metricsPort  = 9464
	startTimeout = 20 * time.Second
	stopTimeout  = 7 * time.Second
	// callTime is how long a client waits, as it says.
	callTime = 3 * time.Second
	// workersPerRack is that of the platform's stand-in.
	workersPerRack = 8
)

// play is one play of a case.
type play struct {
	product string
	trouble bool
	dir     string
	fleet   *standin.Fleet
	hosts   []*host
	// workers are those of the cases that don't take the stand-in's.
	workers []*worker
	client  *http.Client
	started time.Time
	// extraSettings precede the settings of each host.
	extraSettings string

	mu    sync.Mutex
	notes []string
}

// host is one process of the product.
type host struct {
	name  string
	ip    netip.Addr
	port  int
	peers int
	links []*link
	cmd   *exec.Cmd
	done  chan struct{}
}

// newPlay prepares a play.
func newPlay(product string, trouble bool) (*play, error) {
	product, err := filepath.Abs(product)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(product); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "plant-")
	return &play{
		product: product, trouble: trouble, dir: dir, started: time.Now(),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}},
	}, err
}

// start starts the platform with the workers, and the hosts.
func (p *play) start(workers, hosts int) error {
	var err error
	if p.fleet, err = standin.New(standin.WithWorkers(workers)); err != nil {
		return err
	}
	p.started = time.Now()
	p.note("start: %d hosts, %d workers, trouble %t", hosts, workers, p.trouble)
	for i := range hosts {
		h, err := newHost(i)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
	}
	for _, h := range p.hosts {
		if err := p.startHost(h); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for !p.ready() {
		if time.Now().After(deadline) {
			return errors.New("the hosts did not get ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	p.note("all hosts are ready")
	return nil
}

// newHost finds a loopback address with free ports for a host.
func newHost(i int) (*host, error) {
	for range 50 {
		ip := netip.AddrFrom4([4]byte{127, byte(10 + rand.IntN(200)), byte(1 + rand.IntN(250)), byte(i + 1)})
		first := 20000 + rand.IntN(10000)
		free := true
		for _, port := range []int{first, first + 1, first + 2, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return &host{name: fmt.Sprintf("edge-%d", i+1), ip: ip, port: first, peers: first + 2}, nil
		}
	}
	return nil, errors.New("found no free ports")
}

// startHost starts the process of a host and its links to the workers.
func (p *play) startHost(h *host) error {
	view := map[netip.AddrPort]netip.AddrPort{}
	for _, w := range p.fleet.Workers() {
		l, err := newLink(w.Address(), h.ip)
		if err != nil {
			return err
		}
		h.links = append(h.links, l)
		view[w.Address()] = l.address()
	}
	p.fleet.Store().SetView(h.ip, view)
	store, err := newLink(p.fleet.StoreAddress(), h.ip)
	if err != nil {
		return err
	}
	settings := p.fleet.Settings(standin.HostSettings{
		Name: h.name, IP: h.ip.String(), Callers: h.port, Readiness: h.port + 1, Peers: h.peers, Store: store.address(),
	})
	path := filepath.Join(p.dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(p.extraSettings+settings), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(p.dir, h.name+".log"))
	if err != nil {
		return err
	}
	h.cmd = exec.Command(p.product, "fleet", "--metrics-port", fmt.Sprint(metricsPort))
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "LANG=C", "PRIMROSESPAR_SETTINGS=" + path}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.done)
	}()
	return nil
}

// ready reports whether all hosts say that they are ready.
func (p *play) ready() bool {
	for _, h := range p.hosts {
		resp, err := p.client.Get(fmt.Sprintf("http://%s:%d/readyz", h.ip, h.port+1))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close ends all processes and the platform.
func (p *play) close() {
	for _, h := range p.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	expired := time.After(stopTimeout)
	for _, h := range p.hosts {
		if h.done == nil {
			continue
		}
		select {
		case <-h.done:
		case <-expired:
			_ = h.cmd.Process.Kill()
			<-h.done
		}
		for _, l := range h.links {
			l.close()
		}
	}
}

// note adds a line to the record.
func (p *play) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(p.started).Seconds(), line)
	if p.fleet != nil {
		p.fleet.Remark(line)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes = append(p.notes, line)
}

// writeRecord writes what was sent, answered and run, and the logs of the hosts
// if PLANT_LOGS names a folder.
func (p *play) writeRecord(path string) error {
	lines := p.notes
	if p.fleet != nil {
		lines = append(lines, p.fleet.Record()...)
		p.fleet.Close()
	}
	if keep := os.Getenv("PLANT_LOGS"); keep != "" {
		for _, h := range p.hosts {
			data, err := os.ReadFile(filepath.Join(p.dir, h.name+".log"))
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, h.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(p.dir)
	return os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o644)
}

// call makes one call at a host and notes it. The status is 0 if there is no
// complete answer.
func (p *play) call(h *host, method, path, body string) (int, string) {
	return p.callAs(standin.APIKey, h, method, path, body)
}

// callAs is call with another API key.
func (p *play) callAs(key string, h *host, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.ip, h.port, path), strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = standin.QueueHost
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	status, text := 0, ""
	if resp, err := p.client.Do(req); err == nil {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			status, text = resp.StatusCode, string(data)
		}
	}
	p.note("client: %s %s %s at %s -> %d %s", method, path, body, h.name, status, text)
	return status, text
}

// submit hands a job in, again at the next host if it is not accepted.
func (p *play) submit(path, body string) error { return p.submitAs(standin.APIKey, path, body) }

// submitAs is submit with another API key.
func (p *play) submitAs(key, path, body string) error {
	for try := range 5 {
		status, _ := p.callAs(key, p.hosts[try%len(p.hosts)], http.MethodPost, path, body)
		if status >= 200 && status < 300 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("no host accepted the job at %s", path)
}

// await waits until the condition holds.
func await(timeout time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}
