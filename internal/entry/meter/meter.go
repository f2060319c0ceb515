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

// maxLabelSets bounds the pairs of account and class: 220 teams with up to six
// classes each, with room to spare.
const maxLabelSets = 2000

// otherLabel stands for pairs beyond the bound.
const otherLabel = "other"

// labels is one account and class.
type labels struct {
	account primrosespar.Account
	class   primrosespar.Class
}

// Meter holds the metrics of one host. It is safe for concurrent use.
type Meter struct {
	set *metrics.Set

	mu    sync.Mutex
	known map[labels]bool
}

// New returns a Meter without series.
func New() *Meter {
	return &Meter{set: metrics.NewSet(), known: map[labels]bool{}}
}

// Call notes the answer to one call.
func (m *Meter) Call(account primrosespar.Account, class primrosespar.Class, code primrosespar.Code, took time.Duration) {
	l := m.limitLabels(labels{account: account, class: class})
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		`primrosespar_call_duration_seconds{account=%q,class=%q}`, l.account, l.class)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`primrosespar_calls_total{account=%q,class=%q,code=%q}`, l.account, l.class, code.String())).Inc()
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

// limitLabels replaces a pair beyond the limit.
func (m *Meter) limitLabels(l labels) labels {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.known[l] {
		return l
	}
	if len(m.known) >= maxLabelSets {
		return labels{account: otherLabel, class: otherLabel}
	}
	m.known[l] = true
	return l
}
