package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
)

// loadPoint is one configuration of an idle place that BenchmarkControl
// measures. All hosts of the place run in this process: the difference between
// points with more and fewer hosts is the cost of a host, and the rest is the
// cost of the lease holder and the process.
type loadPoint struct {
	Hosts     int     `json:"hosts"`
	Contracts int     `json:"contracts"`
	Changes   float64 `json:"changes_per_s"`
	Upstreams int     `json:"upstreams"`
	Workers   int     `json:"workers"`
}

const (
	controlWarmUp   = 5 * time.Second
	controlDuration = 8 * time.Second
)

// BenchmarkControl measures what the control loops of an idle place cost.
func BenchmarkControl(b *testing.B) {
	base := loadPoint{Hosts: 2, Contracts: 8, Upstreams: 17, Workers: 17}
	points := []loadPoint{base}
	add := func(change func(*loadPoint)) {
		l := base
		change(&l)
		points = append(points, l)
	}
	for _, n := range []int{4, 8, 16} {
		add(func(l *loadPoint) { l.Hosts = n })
	}
	for _, n := range []int{64, 220} {
		add(func(l *loadPoint) { l.Contracts = n })
	}
	for _, n := range []float64{0.25, 2} {
		add(func(l *loadPoint) { l.Changes = n })
	}
	add(func(l *loadPoint) { l.Upstreams = 170 })
	for _, n := range []int{64, 244} {
		add(func(l *loadPoint) { l.Workers = n })
	}
	for _, l := range points {
		b.Run(fmt.Sprintf("hosts=%d/contracts=%d/changes=%g/upstreams=%d/workers=%d",
			l.Hosts, l.Contracts, l.Changes, l.Upstreams, l.Workers), func(b *testing.B) {
			for b.Loop() {
				measureControl(b, l)
			}
		})
	}
}

func measureControl(b *testing.B, l loadPoint) {
	i := newInstallation()
	for u := range l.Upstreams {
		i.addUpstream(u, netip.MustParseAddrPort("127.0.0.1:1"))
	}
	i.addWorkers(l.Workers)
	contracts := i.addContracts(b, l.Contracts)
	traffic, platform := i.countingPlatform()
	i.startOn(b, l.Hosts, platform)
	time.Sleep(controlWarmUp)
	runtime.GC()
	cpu, io, counts := cpuTime(b), ioBytes(b), i.table.Counts()
	table, objects, list, workers := traffic.tableBytes.Load(), traffic.objectBytes.Load(), traffic.listBytes.Load(), traffic.workerBytes.Load()
	amendAtRate(b, contracts, l.Changes)
	seconds := controlDuration.Seconds()
	countsAfter := i.table.Counts()
	cpuUsed, socketBytes := cpuTime(b)-cpu, ioBytes(b)-io
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	i.mu.Lock()
	defer i.mu.Unlock()
	line, err := json.Marshal(struct {
		loadPoint
		CPU       float64        `json:"cpu_ms_per_s"`
		PeerBytes float64        `json:"peer_bytes_per_s"`
		Table     float64        `json:"table_bytes_per_s"`
		Objects   float64        `json:"object_bytes_per_s"`
		List      float64        `json:"list_bytes_per_s"`
		WorkerIO  float64        `json:"worker_bytes_per_s"`
		Reads     float64        `json:"reads_per_s"`
		Writes    float64        `json:"writes_per_s"`
		Heap      uint64         `json:"heap_bytes"`
		Resident  int64          `json:"resident_bytes"`
		Errors    map[string]int `json:"errors"`
	}{
		loadPoint: l, CPU: cpuUsed.Seconds() * 1000 / seconds, PeerBytes: float64(socketBytes) / seconds,
		Table:    float64(traffic.tableBytes.Load()-table) / seconds,
		Objects:  float64(traffic.objectBytes.Load()-objects) / seconds,
		List:     float64(traffic.listBytes.Load()-list) / seconds,
		WorkerIO: float64(traffic.workerBytes.Load()-workers) / seconds,
		Reads:    float64(countsAfter.Reads-counts.Reads) / seconds, Writes: float64(countsAfter.Transactions-counts.Transactions) / seconds,
		Heap: memory.HeapAlloc, Resident: residentBytes(b), Errors: i.errors,
	})
	require.NoError(b, err)
	_, _ = fmt.Fprintln(os.Stdout, string(line))
}

// amendAtRate amends the first contract at the given rate for controlDuration.
func amendAtRate(b *testing.B, contracts *amender.Amender, perSecond float64) {
	end := time.Now().Add(controlDuration)
	if perSecond == 0 {
		time.Sleep(controlDuration)
		return
	}
	period := time.Duration(float64(time.Second) / perSecond)
	version := primrosespar.Version(1)
	for n := 0; time.Until(end) > period; n++ {
		time.Sleep(period)
		outcome, err := contracts.Amend(context.Background(), amender.Amendment{
			ID: fmt.Sprintf("amendment-%d", n), Account: account, Base: version, Document: contractDocument(account, 1000+n), Author: "duty",
		})
		require.NoError(b, err)
		version = outcome.Version
	}
	time.Sleep(time.Until(end))
}

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// ioBytes returns the bytes that this process has read and written. Only the
// heartbeats between hosts use sockets here, and both ends are in this process.
func ioBytes(b *testing.B) int64 {
	data, err := os.ReadFile("/proc/self/io")
	require.NoError(b, err)
	return numberAfter(b, string(data), "rchar:") + numberAfter(b, string(data), "wchar:")
}

// residentBytes returns the resident memory of this process.
func residentBytes(b *testing.B) int64 {
	data, err := os.ReadFile("/proc/self/status")
	require.NoError(b, err)
	return numberAfter(b, string(data), "VmRSS:") << 10
}

// numberAfter returns the number that follows the name in the text.
func numberAfter(b *testing.B, text, name string) int64 {
	_, rest, found := strings.Cut(text, name)
	require.True(b, found, name)
	n, err := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
	require.NoError(b, err)
	return n
}
