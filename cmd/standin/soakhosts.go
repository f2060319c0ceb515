package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/partitioner"
	"primrosespar.example/primrosespar/internal/standin/proxier"
	"primrosespar.example/primrosespar/platform/standin"
)

// platformRegion is the region of the store and the machine provider, which is
// none of the hosts' own.
const platformRegion = "platform"

// soakHost is one host with the proxy between it and the store.
type soakHost struct {
	name          string
	region        string
	ip            netip.Addr
	callerAddress netip.AddrPort
	// peers is the address for other hosts.
	peers        netip.AddrPort
	proxy        *proxier.Proxier
	settingsPath string

	mu    sync.Mutex
	child *process
	// stopping is set from the signal that ends the process until its next
	// start.
	stopping bool
}

// newSoak starts the platform and the links of all hosts.
func newSoak(c soakCommand, dir string) (*soak, error) {
	fleet, err := standin.New(standin.WithWorkers(c.Workers), standin.WithRegions(c.Regions), standin.WithLongestLease(c.Lease), standin.WithoutFencing())
	if err != nil {
		return nil, err
	}
	troubles, err := parseTroubles(c.Troubles)
	if err != nil {
		fleet.Close()
		return nil, err
	}
	s := &soak{
		soakCommand: c, fleet: fleet, troubles: troubles, processes: &processGroup{dir: dir}, links: partitioner.New(),
		healedAt: map[string]time.Time{},
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	s.kills = newCommitKiller(s)
	s.tokenPath = filepath.Join(dir, "operator.token")
	if err := os.WriteFile(s.tokenPath, []byte(operatorToken), 0o600); err != nil {
		s.close()
		return nil, eris.Wrap(err, "write token")
	}
	fleet.SetHeldUp(s.heldUp)
	for i := range c.Hosts {
		h := &soakHost{
			name: fmt.Sprintf("host-%d", i), region: fleet.Regions()[i%c.Regions],
			ip: netip.AddrFrom4([4]byte{127, 0, 1, byte(i + 1)}),
		}
		h.settingsPath = filepath.Join(dir, h.name+".toml")
		firstPort, err := freePorts(h.ip.String(), 4)
		if err != nil {
			s.close()
			return nil, err
		}
		h.callerAddress = netip.AddrPortFrom(h.ip, uint16(firstPort))
		h.peers = netip.AddrPortFrom(h.ip, uint16(firstPort+2))
		s.hosts = append(s.hosts, h)
	}
	for _, h := range s.hosts {
		if err := s.connect(h); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// close ends the hosts and the platform.
func (s *soak) close() {
	s.processes.stop(soakStopTimeout)
	for _, h := range s.hosts {
		if h.proxy != nil {
			h.proxy.Close()
		}
	}
	s.links.Close()
	s.fleet.Close()
}

// connect makes the links of a host to the platform, the workers and the other
// hosts, and writes its settings.
func (s *soak) connect(h *soakHost) error {
	source := proxier.WithSource(h.ip)
	store, err := s.links.Link(h.region, platformRegion, s.fleet.StoreAddress(), source)
	if err != nil {
		return err
	}
	if h.proxy, err = proxier.New(store); err != nil {
		return err
	}
	// An order to a machine that arrived after a cut would look like one of a
	// holder that gives orders without the lease.
	machines, err := s.links.Link(h.region, platformRegion, s.fleet.Provider().Address(), source, proxier.WithLoss())
	if err != nil {
		return err
	}
	view := map[netip.AddrPort]netip.AddrPort{}
	for _, w := range s.fleet.Workers() {
		if view[w.Address()], err = s.links.Link(h.region, w.Region(), w.Address(), source); err != nil {
			return err
		}
	}
	for _, other := range s.hosts {
		if other == h {
			continue
		}
		if view[other.peers], err = s.links.Link(h.region, other.region, other.peers, source); err != nil {
			return err
		}
	}
	s.fleet.Store().SetView(h.ip, view)
	settings := s.fleet.Settings(standin.HostSettings{
		Name: h.name, IP: h.ip.String(), Region: h.region, Callers: int(h.callerAddress.Port()),
		Readiness: int(h.callerAddress.Port()) + 1, Peers: int(h.peers.Port()), Store: h.proxy.Address(), Machines: machines,
	})
	return eris.Wrap(os.WriteFile(h.settingsPath, []byte(settings), 0o600), "write settings")
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

// startHosts starts all hosts.
func (s *soak) startHosts(ctx context.Context) error {
	for _, h := range s.hosts {
		if err := s.startHost(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

// startHost starts the process of a host and waits until it logs that it has
// started.
func (s *soak) startHost(ctx context.Context, h *soakHost) error {
	child, err := s.processes.start(ctx, h.name, s.Product, []string{"fleet", "--settings", h.settingsPath, "--operator-token", s.tokenPath}, func(line []byte) bool {
		return strings.Contains(string(line), "host has started")
	})
	h.mu.Lock()
	h.child, h.stopping = child, false
	h.mu.Unlock()
	return err
}

// holder returns the host that holds the fleet lease, or nil if none does.
func (s *soak) holder() (*soakHost, error) {
	name, err := s.fleet.Store().Holder()
	if err != nil {
		return nil, err
	}
	for _, h := range s.hosts {
		if primrosespar.Host(h.name) == name {
			return h, nil
		}
	}
	return nil, nil
}

// cutOff cuts a region off from the others and from the platform.
func (s *soak) cutOff(region string, direction partitioner.Direction) {
	s.links.Cut(region, direction)
	s.setWorkersCutOff(region, direction != partitioner.Inward)
}

// heal ends the cut of a region.
func (s *soak) heal(region string) {
	s.healedMu.Lock()
	s.healedAt[region] = time.Now()
	s.healedMu.Unlock()
	s.links.Heal(region)
	s.setWorkersCutOff(region, false)
}

// setWorkersCutOff sets whether the workers of a region are cut off from the
// store.
func (s *soak) setWorkersCutOff(region string, cutOff bool) {
	for _, w := range s.fleet.Workers() {
		if w.Region() == region {
			w.SetCutOff(cutOff)
		}
	}
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

// call makes one call and returns the status and body of the response. The
// status is 0 if there is no complete response.
func (s *soak) call(ctx context.Context, method, path, body string, hostIndex int) (int, string) {
	return s.callAs(ctx, standin.APIKey, method, path, body, hostIndex)
}

// callAs is call with another API key.
func (s *soak) callAs(ctx context.Context, key, method, path, body string, hostIndex int) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, soakTimeout)
	defer cancel()
	h := s.hosts[hostIndex%len(s.hosts)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.callerAddress.String()+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = standin.QueueHost
	req.Header.Set("X-Api-Key", key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(soakTimeout.Milliseconds()))
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}
