package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/standin/server"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// Sizes of a place: a third of the 50 upstreams and 50 workers that a place of
// the specified size has.
const (
	upstreamsPerPlace     = 17
	workersPerPlace       = 17
	workersPerRack        = 8
	acceleratorsPerWorker = 8
	upstreamSlots         = 8
	upstreamConnections   = 64
)

// deployment is one running installation: the stand-in platform, and the
// upstreams and hosts of each place.
type deployment struct {
	name        string
	examplesDir string
	programPath string
	standinPath string
	processes   *processGroup
	// limits is the table of limits in the settings of each host.
	limits string

	platform  netip.AddrPort
	settings  configurer.Settings
	upstreams []netip.AddrPort

	mu    sync.Mutex
	hosts []*entryHost
}

// entryHost is one process of the product that serves as an entry host.
type entryHost struct {
	name      primrosespar.Host
	place     primrosespar.Place
	process   *process
	addresses hostAddresses
	// removed hosts get no more traffic from the load balancer.
	removed bool
}

// hostAddresses is decoded from the line that a host logs once it listens.
type hostAddresses struct {
	Callers   netip.AddrPort `json:"callers"`
	Operators netip.AddrPort `json:"operators"`
	Peers     netip.AddrPort `json:"peers"`
}

// start starts the platform, the upstreams and the hosts.
func (d *deployment) start(ctx context.Context, hostsPerPlace int) error {
	var line readyLine
	isReady := matchJSONLine(&line, func(r readyLine) bool { return len(r.Addresses) > 0 })
	if _, err := d.processes.start(ctx, d.name+"-platform", d.standinPath, []string{"platform"}, isReady); err != nil {
		return err
	}
	d.platform = line.Addresses[0]
	if err := d.readSettings(); err != nil {
		return err
	}
	for _, p := range d.settings.Places {
		args := []string{"upstream", "--count", fmt.Sprint(upstreamsPerPlace)}
		if _, err := d.processes.start(ctx, string(p.Place)+"-upstream", d.standinPath, args, isReady); err != nil {
			return err
		}
		d.upstreams = append(d.upstreams, line.Addresses...)
		if err := d.updateTopology(ctx, newTopology(p.Place, line.Addresses)); err != nil {
			return err
		}
		for i := range hostsPerPlace {
			if err := d.startHost(ctx, p.Place, p.Region, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// readSettings reads the first settings file of the example deployment. The
// settings of every host are made from it.
func (d *deployment) readSettings() error {
	files, err := filepath.Glob(filepath.Join(d.examplesDir, "*.toml"))
	if err != nil {
		return eris.Wrap(err, "list settings files")
	}
	for _, file := range files {
		if strings.HasSuffix(file, ".contract.toml") {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(err, "read settings")
		}
		d.settings, err = configurer.Parse(data)
		return eris.Wrapf(err, "parse %s", file)
	}
	return eris.Errorf("no settings file in %s", d.examplesDir)
}

// newTopology describes the workers and upstreams of a place. Every rack has
// eight workers except the last, which has fewer.
func newTopology(place primrosespar.Place, upstreams []netip.AddrPort) server.Topology {
	var t server.Topology
	for i := range workersPerPlace {
		t.Workers = append(t.Workers, primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("%s-w%02d", place, i)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("rack-%d", i/workersPerRack)), Position: i % workersPerRack,
			Cores: 130, MemoryBytes: 500 << 30, Accelerators: acceleratorsPerWorker, Alive: true,
		})
	}
	for i, address := range upstreams {
		t.Upstreams = append(t.Upstreams, primrosespar.UpstreamEntry{
			Upstream: primrosespar.Upstream(fmt.Sprintf("%s-u%02d", place, i)), Place: place,
			Address: address, Slots: upstreamSlots, Connections: upstreamConnections,
		})
	}
	return t
}

// startHost starts the host of the place with that index and adds it to the
// platform's host list.
func (d *deployment) startHost(ctx context.Context, place primrosespar.Place, region string, index int) error {
	return d.startNamedHost(ctx, primrosespar.Host(fmt.Sprintf("%s-%d", place, index+1)), place, region)
}

// startNamedHost starts the host with that name and adds it to the platform's
// host list.
func (d *deployment) startNamedHost(ctx context.Context, name primrosespar.Host, place primrosespar.Place, region string) error {
	path := filepath.Join(d.processes.dir, string(name)+".toml")
	if err := os.WriteFile(path, []byte(d.settingsText(name, place, region)), 0o600); err != nil {
		return eris.Wrap(err, "write settings")
	}
	host := &entryHost{name: name, place: place}
	isReady := matchJSONLine(&host.addresses, func(a hostAddresses) bool { return a.Callers.IsValid() })
	child, err := d.processes.start(ctx, string(name), d.programPath, []string{"entry", path}, isReady)
	if err != nil {
		return err
	}
	host.process = child
	d.mu.Lock()
	d.hosts = append(d.hosts, host)
	d.mu.Unlock()
	return d.updateTopology(ctx, server.Topology{Hosts: []primrosespar.HostEntry{{Host: name, Place: place, Peer: host.addresses.Peers}}})
}

// restartHost starts a new process for a host that has ended, under the same
// name.
func (d *deployment) restartHost(ctx context.Context, h *entryHost, region string) error {
	return d.startNamedHost(ctx, h.name, h.place, region)
}

// settingsText returns the settings file of one host.
func (d *deployment) settingsText(name primrosespar.Host, place primrosespar.Place, region string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "host = %q\nplace = %q\nregion = %q\n", name, place, region)
	for _, p := range d.settings.Places {
		fmt.Fprintf(&b, "[[places]]\nplace = %q\nregion = %q\n", p.Place, p.Region)
	}
	b.WriteString("[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n")
	url := "http://" + d.platform.String()
	fmt.Fprintf(&b, "[platform]\ntable = %q\nobjects = %q\nhosts = %q\nworkers = %q\n", url, url, url, url)
	for _, c := range d.settings.Callers {
		fmt.Fprintf(&b, "[[callers]]\naccount = %q\ntoken = %q\n", c.Account, string(c.Token))
	}
	for _, o := range d.settings.Operators {
		fmt.Fprintf(&b, "[[operators]]\noperator = %q\ntoken = %q\n", o.Operator, string(o.Token))
	}
	b.WriteString(d.limits)
	return b.String()
}

// updateTopology adds to and removes from the platform's topology.
func (d *deployment) updateTopology(ctx context.Context, t server.Topology) error {
	return d.callAdmin(ctx, http.MethodPost, "/admin/topology", t, nil)
}

// callAdmin calls an /admin route of the stand-in platform.
func (d *deployment) callAdmin(ctx context.Context, method, path string, in, out any) error {
	return callJSON(ctx, method, "http://"+d.platform.String()+path, in, out)
}

// callJSON sends in as JSON and decodes the response into out, unless out is
// nil.
func callJSON(ctx context.Context, method, url string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "create request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "call stand-in")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode >= http.StatusMultipleChoices {
		return eris.Errorf("%s %s: status %d, %s", method, url, response.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.Unmarshal(data, out), "decode response")
}

// operatorClient returns a client with an operator's token for a host of the
// place.
func (d *deployment) operatorClient(place primrosespar.Place) *caller.Caller {
	host := d.pickHost(place, 0)
	return caller.New(
		caller.WithServer("http://"+host.addresses.Operators.String()),
		caller.WithToken(string(d.settings.Operators[0].Token)),
	)
}

// pickHost returns a host of the place that the load balancer sends to, or nil
// if the place has none. Consecutive indexes select its hosts in turn.
func (d *deployment) pickHost(place primrosespar.Place, index int) *entryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*entryHost
	for _, h := range d.hosts {
		if h.place == place && !h.removed {
			live = append(live, h)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return live[index%len(live)]
}

// liveHosts returns the hosts of the place that the load balancer sends to.
func (d *deployment) liveHosts(place primrosespar.Place) []*entryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []*entryHost
	for _, h := range d.hosts {
		if h.place == place && !h.removed {
			live = append(live, h)
		}
	}
	return live
}

// removeFromLoadBalancer takes a host out of the load balancer. The platform's
// host list changes later.
func (d *deployment) removeFromLoadBalancer(h *entryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h.removed = true
}

// callerToken returns the token of a caller of the account.
func (d *deployment) callerToken(account primrosespar.Account) string {
	for _, c := range d.settings.Callers {
		if c.Account == account {
			return string(c.Token)
		}
	}
	return ""
}

// applyContracts applies every contract of the example deployment and returns
// their accounts.
func (d *deployment) applyContracts(ctx context.Context) ([]primrosespar.Account, error) {
	files, err := filepath.Glob(filepath.Join(d.examplesDir, "*.contract.toml"))
	if err != nil {
		return nil, eris.Wrap(err, "list contracts")
	}
	var accounts []primrosespar.Account
	for _, file := range files {
		document, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "read contract")
		}
		account := primrosespar.Account(strings.TrimSuffix(filepath.Base(file), ".contract.toml"))
		_, err = d.operatorClient(d.settings.Places[0].Place).Apply(ctx, account, 0, "demo-"+string(account), document)
		if err != nil {
			return nil, eris.Wrapf(err, "apply %s", file)
		}
		accounts = append(accounts, account)
	}
	return accounts, nil
}

// awaitContracts waits until every host enforces the contracts and knows the
// lease holder of its place.
func (d *deployment) awaitContracts(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range d.hosts {
		client := caller.New(caller.WithServer("http://"+h.addresses.Operators.String()),
			caller.WithToken(string(d.settings.Operators[0].Token)))
		for {
			status, err := client.Status(waitCtx)
			if err == nil && !status.Restricted && int(status.Revision) >= len(d.settings.Callers) && status.Holder != "" {
				break
			}
			if waitCtx.Err() != nil {
				return eris.Errorf("host %s has revision %d and holder %q after %s", h.name, status.Revision, status.Holder, startTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// runCounts returns how often each key ran, summed over all upstreams.
func (d *deployment) runCounts(ctx context.Context) (map[servicer.RunCount]int, error) {
	counts := map[servicer.RunCount]int{}
	for _, address := range d.upstreams {
		var stats struct {
			Runs []servicer.RunCount `json:"runs"`
		}
		if err := callJSON(ctx, http.MethodGet, "http://"+address.String()+"/stats", nil, &stats); err != nil {
			return nil, err
		}
		for _, run := range stats.Runs {
			counts[servicer.RunCount{Account: run.Account, Key: run.Key, Attempt: run.Attempt}] += run.Runs
		}
	}
	return counts, nil
}
