// Package meter keeps the metrics of an entry host: calls by client account and
// class, decisions and gauges.
//
// The number of label sets is limited, because callers choose the class of a
// call and must not be able to create any number of time series.
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

// maxLabelSets limits the pairs of account and class. 220 client accounts with
// up to six classes each need 1320.
const maxLabelSets = 2000

// otherLabel is both labels of calls beyond maxLabelSets.
const otherLabel = "other"

// labels are the account and class of a call's metrics.
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

// New returns a Meter without metrics.
func New() *Meter {
	return &Meter{set: metrics.NewSet(), known: map[labels]bool{}}
}

// Call counts one answered call and records its duration.
func (m *Meter) Call(account primrosespar.Account, class primrosespar.Class, code primrosespar.Code, took time.Duration) {
	l := m.limitLabels(labels{account: account, class: class})
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		`primrosespar_call_duration_seconds{account=%q,class=%q}`, l.account, l.class)).Update(took.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`primrosespar_calls_total{account=%q,class=%q,code=%q}`, l.account, l.class, code.String())).Inc()
}

// RetryAfter records the delay after which a refused caller was told to come
// back.
func (m *Meter) RetryAfter(account primrosespar.Account, class primrosespar.Class, delay time.Duration) {
	l := m.limitLabels(labels{account: account, class: class})
	m.set.GetOrCreateHistogram(fmt.Sprintf(
		`primrosespar_retry_after_seconds{account=%q,class=%q}`, l.account, l.class)).Update(delay.Seconds())
}

// Gauge registers a gauge whose value is read at each scrape.
func (m *Meter) Gauge(name string, read func() float64) {
	m.set.GetOrCreateGauge(name, read)
}

// Decision counts one decision record by kind and code.
func (m *Meter) Decision(kind primrosespar.DecisionKind, code primrosespar.Code) {
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`primrosespar_decisions_total{kind=%q,code=%q}`, string(kind), code.String())).Inc()
}

// Cut counts connections that were cut at a port, by reason.
func (m *Meter) Cut(port, reason string, n int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(
		`primrosespar_connections_cut_total{port=%q,reason=%q}`, port, reason)).Add(n)
}

// Write writes all metrics, those of the process included, in the Prometheus
// text format.
func (m *Meter) Write(w io.Writer) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// limitLabels returns the labels, or otherLabel for both if they are new and
// there are already maxLabelSets.
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
