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

// The offered rate is the same for every number of callers: the time that the
// upstream takes grows with them, so that all callers are in flight and the
// processors of the machine are not what is measured.
const (
	benchHosts     = 4
	benchUpstreams = 160
	offeredRate    = 1000
	phaseTime      = 3 * time.Second
	settleTime     = 5 * time.Second
	warmCallers    = 1000
	maxLatency     = 60_000_000
)

// upstream answers after the time in its body with the time it really took, in
// nanoseconds; it refuses a request above its slots as the design page says.
func upstream(tb testing.TB, busy *atomic.Int64) netip.AddrPort {
	var used atomic.Int64
	l, err := (&net.ListenConfig{}).Listen(tb.Context(), "tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		if used.Add(1) > 8 {
			used.Add(-1)
			busy.Add(1)
			w.Header().Set("X-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer used.Add(-1)
		body, _ := io.ReadAll(r.Body)
		wait, _ := strconv.ParseInt(string(body), 10, 64)
		time.Sleep(time.Duration(wait))
		_, _ = fmt.Fprint(w, time.Since(start).Nanoseconds())
	})}
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() { _ = s.Close() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// phase is what one phase of calls measured; latencies exclude the time that
// the upstream took.
type phase struct {
	latency *hdrhistogram.Histogram
	failed  int64
	mallocs uint64
	bytes   uint64
}

// run lets the callers call url(caller) until the time is over.
func run(client *http.Client, callers int, class string, url func(caller int) string) phase {
	result := phase{latency: hdrhistogram.New(1, maxLatency, 3)}
	histograms := make([]*hdrhistogram.Histogram, callers)
	var failed atomic.Int64
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	ctx, stop := context.WithTimeout(context.Background(), phaseTime)
	defer stop()
	service := strconv.Itoa(int(time.Second) * callers / offeredRate)
	var wg conc.WaitGroup
	for c := range callers {
		histograms[c] = hdrhistogram.New(1, maxLatency, 3)
		wg.Go(func() {
			// Callers start spread over one service time.
			time.Sleep(time.Second / offeredRate * time.Duration(c))
			for n := 0; ctx.Err() == nil; n++ {
				took, err := call(client, url(c), class, fmt.Sprintf("%d-%d-%d", before.Mallocs, c, n), service)
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

// call returns the time of one call without the time the upstream took.
func call(client *http.Client, url, class, key, service string) (time.Duration, error) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+class, bytes.NewBufferString(service))
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
	served, err := strconv.ParseInt(string(body), 10, 64)
	if err != nil || resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return total - time.Duration(served), nil
}

// BenchmarkRequestPath measures what a host adds to a direct call of the same
// upstream in the same run.
func BenchmarkRequestPath(b *testing.B) {
	i := newInstallation()
	var busy atomic.Int64
	direct := make([]string, benchUpstreams)
	for u := range direct {
		at := upstream(b, &busy)
		direct[u] = "http://" + at.String() + "/"
		i.addUpstream(u, at)
	}
	i.addWorkers(rackSize)
	i.addContracts(b, 8)
	i.start(b, benchHosts)
	// Slots that change their host are used after the handover time.
	time.Sleep(settleTime)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	through := func(c int) string {
		return "http://" + i.bound[c%benchHosts].Callers.String() + "/v1/requests/"
	}
	// Without a warm-up, a third of the calls dial a first connection.
	run(client, warmCallers, "eligibility", through)
	for _, class := range []string{"eligibility", "recomputation"} {
		for _, callers := range []int{10, 100, 1000} {
			b.Run(fmt.Sprintf("%s/callers=%d", class, callers), func(b *testing.B) {
				for b.Loop() {
					base := run(client, callers, class, func(c int) string { return direct[c%benchUpstreams] })
					counts, refused := i.table.Counts(), busy.Load()
					measured := run(client, callers, class, through)
					report(b, i, base, measured, i.table.Counts().Transactions-counts.Transactions, busy.Load()-refused)
				}
			})
		}
	}
	client.CloseIdleConnections()
}

// report prints one JSON line.
func report(b *testing.B, i *installation, base, through phase, transactions uint64, busy int64) {
	calls, direct := float64(max(1, through.latency.TotalCount())), float64(max(1, base.latency.TotalCount()))
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
		Name: b.Name(), Calls: through.latency.TotalCount(), Failed: through.failed, DirectFailed: base.failed, Busy: busy,
		DirectP50: base.latency.ValueAtQuantile(50), DirectP99: base.latency.ValueAtQuantile(99),
		AddedP50:     through.latency.ValueAtQuantile(50) - base.latency.ValueAtQuantile(50),
		AddedP99:     through.latency.ValueAtQuantile(99) - base.latency.ValueAtQuantile(99),
		AddedAllocs:  float64(through.mallocs)/calls - float64(base.mallocs)/direct,
		AddedBytes:   float64(through.bytes)/calls - float64(base.bytes)/direct,
		Transactions: float64(transactions) / calls,
		Errors:       i.failed,
	})
	require.NoError(b, err)
	_, _ = fmt.Fprintln(os.Stdout, string(line))
}
