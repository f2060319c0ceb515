// Package meter counts and times what an entry host does, per client account
// and class.
//
// Only accounts and classes of a contract become labels, and their number is
// bounded, so callers cannot make series grow.
//
// # Usage
//
//	m := meter.New()
//	m.Call("bascule", "eligibility", primrosespar.CodeOK, 12*time.Millisecond)
//	m.Write(w)
package meter

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"primrosespar.example/primrosespar"
)

// maxSeries bounds the pairs of account and class: 220 teams with up to six
// classes each, with room to spare.
const maxSeries = 2000

// otherLabel stands for pairs beyond the bound.
const otherLabel = "other"

// pair is one account and class.
type pair struct {
	account primrosespar.Account
	class   primrosespar.Class
}

// Meter holds the metrics of one host. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set

	mu    sync.Mutex
	pairs map[pair]bool
}

// New returns a Meter without series.
func New() *Meter {
	return &Meter{set: metrics.NewSet(), pairs: map[pair]bool{}}
}

// Call notes the answer to one call.
func (m *Meter) Call(account primrosespar.Account, class primrosespar.Class, code primrosespar.Code, took time.Duration) {
	p := m.bound(pair{account: account, class: class})
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		`primrosespar_call_duration_seconds{account=%q,class=%q}`, p.account, p.class)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`primrosespar_calls_total{account=%q,class=%q,code=%q}`, p.account, p.class, code.String())).Inc()
}

// Gauge registers a value that is read at each scrape.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Decision counts one decision record by kind and code.
func (m *Meter) Decision(kind primrosespar.DecisionKind, code primrosespar.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`primrosespar_decisions_total{kind=%q,code=%q}`, string(kind), code.String())).Inc()
}

// Write writes all series and those of the process in Prometheus text
// format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// bound replaces a pair beyond the limit.
func (m *Meter) bound(p pair) pair {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pairs[p] {
		return p
	}
	if len(m.pairs) >= maxSeries {
		return pair{account: otherLabel, class: otherLabel}
	}
	m.pairs[p] = true
	return p
}
