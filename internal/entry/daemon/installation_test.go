package daemon_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/daemon"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

const place primrosespar.Place = "sf-thyna"

// Names and limits of the benchmarks.
const (
	account           = "account-000"
	callerToken       = "caller-token-of-measurements"
	startTimeout      = 30 * time.Second
	startPollInterval = 5 * time.Millisecond
	rackSize          = 8
)

// installation is the platform of one place and the entry hosts that run on it.
type installation struct {
	table     *keeper.Keeper
	executor  *executor.Executor
	mu        sync.Mutex
	addresses []daemon.Addresses
	errors    map[string]int
}

// newInstallation returns a platform without rate limits, so that a benchmark
// measures what the hosts request and not what the store admits.
func newInstallation() *installation {
	clock := clockwork.NewRealClock()
	return &installation{
		table:    keeper.New(keeper.WithClock(clock), keeper.WithFaults(keeper.Faults{WritesPerSecond: -1, ReadsPerSecond: -1})),
		executor: executor.New(executor.WithClock(clock)),
		errors:   map[string]int{},
	}
}

// addWorkers adds workers with 8 accelerators each, 8 workers to a rack.
func (i *installation) addWorkers(n int) {
	for w := range n {
		i.executor.Add(primrosespar.WorkerEntry{
			Worker: primrosespar.Worker(fmt.Sprintf("w-%04d", w)), Place: place,
			Rack: primrosespar.Rack(fmt.Sprintf("r-%03d", w/rackSize)), Position: w % rackSize,
			Cores: 130, MemoryBytes: 500 << 30, Accelerators: 8,
		})
	}
}

// addUpstream adds an upstream with the slots and connections of
// docs/design.md, section 2.
func (i *installation) addUpstream(n int, at netip.AddrPort) {
	i.table.SetUpstream(primrosespar.UpstreamEntry{
		Upstream: primrosespar.Upstream(fmt.Sprintf("u-%04d", n)), Place: place,
		Address: at, Slots: 8, Connections: 64,
	})
}

// contractDocument returns a contract whose limits are above the load of the
// benchmarks.
func contractDocument(name string, rate int) []byte {
	return fmt.Appendf(nil, `account = %q
public_name = %q
max_accelerators = 100000
[[places]]
place = %q
share = 1
[[classes]]
class = "eligibility"
kind = "request"
idempotent = true
deadline = "30s"
rate_per_second = %[4]d
burst = 100000
concurrency = 100000
queue = 10000
[[classes]]
class = "recomputation"
kind = "request"
idempotent = false
deadline = "30s"
rate_per_second = %[4]d
burst = 100000
concurrency = 100000
queue = 10000
`, name, "Account "+name, place, rate)
}

// addContracts writes the contracts of n accounts and returns the amender that
// wrote them.
func (i *installation) addContracts(tb testing.TB, n int) *amender.Amender {
	a := amender.New(amender.WithTable(i.table), amender.WithPlaces(place),
		amender.WithWorkers(func(ctx context.Context) ([]primrosespar.WorkerEntry, error) {
			entries, _, err := i.executor.Changes(ctx, place, 0)
			return entries, err
		}))
	for c := range n {
		name := fmt.Sprintf("account-%03d", c)
		_, err := a.Amend(tb.Context(), amender.Amendment{
			ID: name, Account: primrosespar.Account(name), Document: contractDocument(name, 100_000), Author: "duty",
		})
		require.NoError(tb, err)
	}
	return a
}

// newSettings returns the settings of a host with the given name.
func newSettings(tb testing.TB, name string) configurer.Settings {
	s, err := configurer.Parse(fmt.Appendf(nil, `host = %q
place = %q
region = "sfax"
[[places]]
place = %[2]q
region = "sfax"
[listen]
callers = "127.0.0.1:1"
operators = "127.0.0.1:2"
peers = "127.0.0.1:3"
[platform]
table = "http://127.0.0.1:4"
objects = "http://127.0.0.1:4"
hosts = "http://127.0.0.1:4"
workers = "http://127.0.0.1:4"
[[callers]]
account = %q
token = %q
`, name, place, account, callerToken))
	require.NoError(tb, err)
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	s.Listen = configurer.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort}
	return s
}

// start runs n hosts until the test ends.
func (i *installation) start(tb testing.TB, n int) {
	i.startOn(tb, n, daemon.Platform{Table: i.table, Objects: i.table, Hosts: i.table, Workers: i.executor})
}

// startOn runs n hosts on the platform until the test ends.
func (i *installation) startOn(tb testing.TB, n int, platform daemon.Platform) {
	ctx, stop := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	tb.Cleanup(func() { stop(); wg.Wait() })
	for h := range n {
		s := newSettings(tb, fmt.Sprintf("h-%02d", h))
		d := daemon.New(s, platform, daemon.WithGrace(0), daemon.WithOnError(i.countError), daemon.WithOnStarted(func(a daemon.Addresses) {
			i.mu.Lock()
			defer i.mu.Unlock()
			i.addresses = append(i.addresses, a)
			i.table.SetHost(primrosespar.HostEntry{Host: s.Host, Place: place, Peer: a.Peers})
		}))
		wg.Go(func() { i.countRunError(d.Run(ctx)) })
	}
	require.Eventually(tb, func() bool {
		i.mu.Lock()
		defer i.mu.Unlock()
		return len(i.addresses) == n
	}, startTimeout, startPollInterval)
}

func (i *installation) countError(part string, _ error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.errors[part]++
}

func (i *installation) countRunError(err error) {
	if err != nil {
		i.countError("run", err)
	}
}
