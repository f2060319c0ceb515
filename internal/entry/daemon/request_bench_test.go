package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"
)

// The offered rate is the same for every number of callers. The service time of
// the upstreams grows with the number of callers, so that all of them have a
// call in flight and the CPUs of the machine are not the bottleneck.
const (
	benchHosts       = 4
	benchUpstreams   = 160
	offeredRate      = 1000
	phaseDuration    = 3 * time.Second
	handoverWait     = 5 * time.Second
	warmUpCallers    = 1000
	maxLatencyMicros = 60_000_000
)

// startUpstream starts an upstream that waits for the nanoseconds in the body
// of a request and answers with the time that it really took. It refuses
// requests above its 8 slots with the header that says that they did not run.
func startUpstream(tb testing.TB, busy *atomic.Int64) netip.AddrPort {
	var inUse atomic.Int64
	l, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		if inUse.Add(1) > 8 {
			inUse.Add(-1)
			busy.Add(1)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer inUse.Add(-1)
		body, _ := io.ReadAll(r.Body)
		wait, _ := strconv.ParseInt(string(body), 10, 64)
		time.Sleep(time.Duration(wait))
		_, _ = fmt.Fprint(w, time.Since(start).Nanoseconds())
	})}
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// phaseResult holds the measurements of one phase of calls. Latencies are in
// microseconds and exclude the time that the upstream took.
type phaseResult struct {
	latency *hdrhistogram.Histogram
	failed  int64
	mallocs uint64
	bytes   uint64
}

// runPhase lets each caller call url(caller) in a loop for phaseDuration.
func runPhase(client *http.Client, callers int, class string, url func(caller int) string) phaseResult {
	result := phaseResult{latency: hdrhistogram.New(1, maxLatencyMicros, 3)}
	histograms := make([]*hdrhistogram.Histogram, callers)
	var failed atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, stop := context.WithTimeout(context.Background(), phaseDuration)
	defer stop()
	serviceTime := strconv.Itoa(int(time.Second) * callers / offeredRate)
	var wg conc.WaitGroup
	for c := range callers {
		histograms[c] = hdrhistogram.New(1, maxLatencyMicros, 3)
		wg.Go(func() {
			// The starts of the callers are spread over one service time.
			time.Sleep(time.Second / offeredRate * time.Duration(c))
			for n := 0; ctx.Err() == nil; n++ {
				took, err := timeCall(client, url(c), class, fmt.Sprintf("%d-%d-%d", before.Mallocs, c, n), serviceTime)
				if err != nil {
					failed.Add(1)
					continue
				}
				_ = histograms[c].RecordValue(took.Microseconds())
			}
		})
	}
	wg.Wait()
	runtime.ReadMemStats(&after)
	for _, h := range histograms {
		result.latency.Merge(h)
	}
	result.failed, result.mallocs, result.bytes = failed.Load(), after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc
	return result
}

// timeCall returns the duration of one call without the time that the upstream
// took.
func timeCall(client *http.Client, url, class, key, serviceTime string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+class, bytes.NewBufferString(serviceTime))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	req.Header.Set("X-Request-Key", key)
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	total := time.Since(start)
	serviceNanos, err := strconv.ParseInt(string(body), 10, 64)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return total - time.Duration(serviceNanos), nil
}

// BenchmarkRequestPath measures what a host adds to the latency and allocations
// of a direct call to the same upstreams in the same run.
func BenchmarkRequestPath(b *testing.B) {
	i := newInstallation()
	var busy atomic.Int64
	directURLs := make([]string, benchUpstreams)
	for u := range directURLs {
		at := startUpstream(b, &busy)
		directURLs[u] = "http://" + at.String() + "/"
		i.addUpstream(u, at)
	}
	i.addWorkers(rackSize)
	i.addContracts(b, 8)
	i.start(b, benchHosts)
	// Slots that move to another host are used only after the handover time.
	time.Sleep(handoverWait)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	viaHost := func(c int) string {
		return "http://" + i.addresses[c%benchHosts].Callers.String() + "/v1/requests/"
	}
	// Without a warm-up, a third of the calls open a new connection.
	runPhase(client, warmUpCallers, "eligibility", viaHost)
	for _, class := range []string{"eligibility", "recomputation"} {
		for _, callers := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/callers=%d", class, callers), func(b *testing.B) {
				for b.Loop() {
					directResult := runPhase(client, callers, class, func(c int) string { return directURLs[c%benchUpstreams] })
					counts, busyBefore := i.table.Counts(), busy.Load()
					hostResult := runPhase(client, callers, class, viaHost)
					printReport(b, i, directResult, hostResult, i.table.Counts().Transactions-counts.Transactions, busy.Load()-busyBefore)
				}
			})
		}
	}
	client.CloseIdleConnections()
}

// printReport prints the measurements of one run as a line of JSON.
func printReport(b *testing.B, i *installation, directResult, hostResult phaseResult, transactions uint64, busy int64) {
	calls, direct := float64(max(1, hostResult.latency.TotalCount())), float64(max(1, directResult.latency.TotalCount()))
	i.mu.Lock()
	defer i.mu.Unlock()
	line, err := json.Marshal(struct {
		Name         string         `json:"name"`
		Calls        int64          `json:"calls"`
		Failed       int64          `json:"failed"`
		DirectFailed int64          `json:"direct_failed"`
		Busy         int64          `json:"upstream_busy"`
		DirectP50    int64          `json:"direct_p50_us"`
		DirectP99    int64          `json:"direct_p99_us"`
		AddedP50     int64          `json:"added_p50_us"`
		AddedP99     int64          `json:"added_p99_us"`
		AddedAllocs  float64        `json:"added_allocs_per_call"`
		AddedBytes   float64        `json:"added_bytes_per_call"`
		Transactions float64        `json:"transactions_per_call"`
		Errors       map[string]int `json:"errors"`
	}{
		Name: b.Name(), Calls: hostResult.latency.TotalCount(), Failed: hostResult.failed, DirectFailed: directResult.failed, Busy: busy,
		DirectP50: directResult.latency.ValueAtQuantile(50), DirectP99: directResult.latency.ValueAtQuantile(99),
		AddedP50:     hostResult.latency.ValueAtQuantile(50) - directResult.latency.ValueAtQuantile(50),
		AddedP99:     hostResult.latency.ValueAtQuantile(99) - directResult.latency.ValueAtQuantile(99),
		AddedAllocs:  float64(hostResult.mallocs)/calls - float64(directResult.mallocs)/direct,
		AddedBytes:   float64(hostResult.bytes)/calls - float64(directResult.bytes)/direct,
		Transactions: float64(transactions) / calls,
		Errors:       i.errors,
	})
	require.NoError(b, err)
	_, _ = fmt.Fprintln(os.Stdout, string(line))
}
