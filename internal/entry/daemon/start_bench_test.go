package daemon_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

const (
	gangRows         = 3200
	startDuration    = 10 * time.Second
	sampleInterval   = 200 * time.Millisecond
	samplesPerSecond = int(time.Second / sampleInterval)
)

// addGangs writes the rows of n gangs in the given state.
func (i *installation) addGangs(tb testing.TB, n int, state primrosespar.GangState) {
	for g := range n {
		id := primrosespar.JobID(fmt.Sprintf("j-%06d", g))
		value, err := json.Marshal(primrosespar.Gang{State: state, Job: primrosespar.Job{
			ID: id, Account: account, Class: "allotment", Place: place,
			Shape: primrosespar.Shape{Members: 1, Block: 1}, Declared: time.Hour, Deadline: 8 * time.Hour,
		}})
		require.NoError(tb, err)
		_, err = i.table.Commit(tb.Context(), primrosespar.Txn{Writes: []primrosespar.Write{
			{Key: primrosespar.GangKey(place, id), Value: value},
		}})
		require.NoError(tb, err)
	}
}

// BenchmarkHostStart measures the load on the store of hosts that start
// together.
func BenchmarkHostStart(b *testing.B) {
	for _, hosts := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				measureStart(b, hosts)
			}
		})
	}
}

func measureStart(b *testing.B, hosts int) {
	i := newInstallation()
	i.addUpstream(0, netip.MustParseAddrPort("127.0.0.1:1"))
	i.addWorkers(64)
	i.addContracts(b, 220)
	i.addGangs(b, gangRows, primrosespar.GangDone)
	before := i.table.Counts()
	i.start(b, hosts)
	samples := []keeper.Counts{before}
	for range int(startDuration / sampleInterval) {
		time.Sleep(sampleInterval)
		samples = append(samples, i.table.Counts())
	}
	var reads, rows, writes uint64
	for n := range samples {
		from := samples[max(0, n-samplesPerSecond)]
		reads = max(reads, samples[n].Reads-from.Reads)
		rows = max(rows, samples[n].RowsRead-from.RowsRead)
		writes = max(writes, samples[n].Transactions-from.Transactions)
	}
	last := samples[len(samples)-1]
	i.mu.Lock()
	defer i.mu.Unlock()
	line, err := json.Marshal(struct {
		Name       string         `json:"name"`
		Hosts      int            `json:"hosts"`
		PeakReads  uint64         `json:"peak_reads_per_s"`
		PeakRows   uint64         `json:"peak_rows_per_s"`
		PeakWrites uint64         `json:"peak_writes_per_s"`
		FirstReads uint64         `json:"reads_first_200ms"`
		Reads      uint64         `json:"reads_10s"`
		Writes     uint64         `json:"writes_10s"`
		Conflicts  uint64         `json:"conflicts_10s"`
		Errors     map[string]int `json:"errors"`
	}{
		b.Name(), hosts, reads, rows, writes, samples[1].Reads - before.Reads, last.Reads - before.Reads,
		last.Transactions - before.Transactions, last.Conflicts - before.Conflicts, i.errors,
	})
	require.NoError(b, err)
	_, _ = fmt.Fprintln(os.Stdout, string(line))
}
