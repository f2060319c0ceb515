package admitter_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/admitter"
)

// TestMain fixes the seed so that every run draws the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	m.Run()
}

// systemUnderTest is what the oracle drives: an Admitter or a faultyAdmitter.
type systemUnderTest interface {
	Offer(r admitter.Request, now time.Time) (*admitter.Ticket, []admitter.Shed, error)
	Next(now time.Time) (*admitter.Ticket, []admitter.Shed)
	Release(t *admitter.Ticket, service time.Duration, served bool, now time.Time)
	Cancel(t *admitter.Ticket) bool
}

// faultyAdmitter is an Admitter with mechanisms switched off. It always serves
// strictly by urgency, without minimum shares; lifo ignores deadlines, and
// unlimited ignores concurrency, queue lengths and rates.
type faultyAdmitter struct {
	*admitter.Admitter
	unlimited, lifo bool
	tickets         []*admitter.Ticket
	running         map[primrosespar.Class]int
}

func (f *faultyAdmitter) Offer(r admitter.Request, now time.Time) (*admitter.Ticket, []admitter.Shed, error) {
	if !f.unlimited {
		t, shed, err := f.Admitter.Offer(r, now)
		if err == nil {
			f.tickets = append(f.tickets, t)
		}
		return t, shed, err
	}
	unlimited := admitter.New("p")
	unlimited.SetContracts(contracts(1000), now)
	unlimited.SetCurrent(true, now)
	t, _, err := unlimited.Offer(r, now)
	f.tickets = append(f.tickets, t)
	return t, nil, err
}

func (f *faultyAdmitter) Next(now time.Time) (*admitter.Ticket, []admitter.Shed) {
	best := -1
	for i, t := range f.tickets {
		r := t.Request()
		if !r.Deadline.After(now) || (!f.unlimited && f.running[r.Class] >= limits()[r.Class]) {
			continue
		}
		if best < 0 || r.Class < f.tickets[best].Request().Class {
			best = i
			continue
		}
		b := f.tickets[best].Request()
		if r.Class == b.Class && (f.lifo || r.Deadline.Before(b.Deadline)) {
			best = i
		}
	}
	if best < 0 {
		return nil, nil
	}
	t := f.tickets[best]
	f.tickets = append(f.tickets[:best:best], f.tickets[best+1:]...)
	f.running[t.Request().Class]++
	return t, nil
}

func (f *faultyAdmitter) Release(t *admitter.Ticket, _ time.Duration, _ bool, _ time.Time) {
	f.running[t.Request().Class]--
}

func (f *faultyAdmitter) Cancel(*admitter.Ticket) bool { return false }

// limits returns the concurrency of each class at this host, a quarter of that
// in the contract: the place has half of the shares and there are two hosts.
func limits() map[primrosespar.Class]int {
	return map[primrosespar.Class]int{"a-urgent": 6, "b-normal": 3, "c-cheap": 2}
}

const (
	queueBound = 40
	burst      = 50
	perSecond  = 20.0
)

// contracts returns two accounts with all classes and with limits multiplied
// by factor.
func contracts(factor int) primrosespar.ContractView {
	var view primrosespar.ContractView
	for i, name := range []primrosespar.Account{"one", "two"} {
		c := primrosespar.Contract{Account: name, Weight: i + 1, Places: []primrosespar.PlaceShare{{Place: "p", Share: 1}, {Place: "q", Share: 1}}}
		for class, limit := range limits() {
			c.Classes = append(c.Classes, primrosespar.ClassTerms{
				Class: class, Kind: primrosespar.KindRequest, Idempotent: true, Urgent: class == "a-urgent",
				LatenessCost: 1, RatePerSecond: perSecond * 4 * float64(factor), Burst: burst * 4 * factor,
				Concurrency: limit * 4 * factor, Queue: queueBound * factor,
			})
		}
		view.Contracts = append(view.Contracts, primrosespar.VersionedContract{Contract: c})
	}
	return view
}

type classKey struct {
	account primrosespar.Account
	class   primrosespar.Class
}

// oracle is a simple model that keeps every call in lists and checks each
// decision of the system under test.
type oracle struct {
	sut     systemUnderTest
	now     time.Time
	last    time.Time
	waiting map[classKey][]*admitter.Ticket
	running []*admitter.Ticket
	inUse   map[classKey]int
	tokens  map[classKey]float64
	skipped map[classKey]int
}

func newOracle(sut systemUnderTest, now time.Time) *oracle {
	o := &oracle{sut: sut, now: now, last: now, waiting: map[classKey][]*admitter.Ticket{}, inUse: map[classKey]int{}, tokens: map[classKey]float64{}, skipped: map[classKey]int{}}
	for _, account := range []primrosespar.Account{"one", "two"} {
		for class := range limits() {
			o.tokens[classKey{account, class}] = burst
		}
	}
	return o
}

func classKeyOf(t *admitter.Ticket) classKey { return classKey{t.Request().Account, t.Request().Class} }

// removeWaiting removes the call from its waiting list and reports whether it
// was there.
func (o *oracle) removeWaiting(t *admitter.Ticket) bool {
	key := classKeyOf(t)
	for i, w := range o.waiting[key] {
		if w == t {
			o.waiting[key] = append(o.waiting[key][:i:i], o.waiting[key][i+1:]...)
			if len(o.waiting[key]) == 0 {
				o.skipped[key] = 0
			}
			return true
		}
	}
	return false
}

func (o *oracle) checkShed(list []admitter.Shed) error {
	for _, s := range list {
		if s.Ticket.Request().Deadline.After(o.now) || !o.removeWaiting(s.Ticket) {
			return fmt.Errorf("call lost: shed with %s before its deadline", s.Code)
		}
	}
	return nil
}

func (o *oracle) offer(key classKey, timeout time.Duration) error {
	t, shed, err := o.sut.Offer(admitter.Request{Account: key.account, Class: key.class, Deadline: o.now.Add(timeout)}, o.now)
	if e := o.checkShed(shed); e != nil {
		return e
	}
	if err != nil {
		if o.tokens[key] > 1.001 && len(o.waiting[key]) < queueBound {
			return fmt.Errorf("refused below all limits: %w", err)
		}
		return nil
	}
	o.tokens[key]--
	o.waiting[key] = append(o.waiting[key], t)
	if o.tokens[key] < -0.001 || len(o.waiting[key]) > queueBound {
		return fmt.Errorf("limit exceeded: %v has %.2f tokens and %d waiting", key, o.tokens[key], len(o.waiting[key]))
	}
	return nil
}

func (o *oracle) next() error {
	t, shed := o.sut.Next(o.now)
	if e := o.checkShed(shed); e != nil {
		return e
	}
	if t == nil {
		for key, list := range o.waiting {
			if len(list) > 0 && o.inUse[key] < limits()[key.class] && list[0].Request().Deadline.After(o.now) {
				return fmt.Errorf("call lost: %v waits below its limit and none was started", key)
			}
		}
		return nil
	}
	if !o.removeWaiting(t) {
		return fmt.Errorf("call lost: an unknown call was started")
	}
	key := classKeyOf(t)
	for _, w := range o.waiting[key] {
		if w.Request().Deadline.Before(t.Request().Deadline) && w.Request().Deadline.After(o.now) {
			return fmt.Errorf("not the earliest deadline first in %v", key)
		}
	}
	if o.inUse[key]++; o.inUse[key] > limits()[key.class] {
		return fmt.Errorf("limit exceeded: %v runs %d", key, o.inUse[key])
	}
	o.running = append(o.running, t)
	for other, list := range o.waiting {
		if other == key || len(list) == 0 || o.inUse[other] >= limits()[other.class] {
			o.skipped[other] = 0
			continue
		}
		// Six classes are due after 4*6 starts, and each may wait for the other
		// five.
		if o.skipped[other]++; o.skipped[other] > 4*6+6 {
			return fmt.Errorf("starved: %v was passed over %d times", other, o.skipped[other])
		}
	}
	return nil
}

func (o *oracle) release(i int) {
	t := o.running[i]
	o.running = append(o.running[:i:i], o.running[i+1:]...)
	o.inUse[classKeyOf(t)]--
	o.sut.Release(t, time.Millisecond, false, o.now)
}

func (o *oracle) advance(d time.Duration) {
	o.now = o.now.Add(d)
	for key := range o.tokens {
		o.tokens[key] = min(burst, o.tokens[key]+perSecond*d.Seconds())
	}
}

// runSequence draws a sequence of operations and returns the first violation.
func runSequence(t *rapid.T, sut systemUnderTest, now time.Time) error {
	o := newOracle(sut, now)
	for range rapid.IntRange(50, 400).Draw(t, "steps") {
		var err error
		switch rapid.IntRange(0, 9).Draw(t, "op") {
		case 0, 1, 2, 3:
			key := classKey{rapid.SampledFrom([]primrosespar.Account{"one", "two"}).Draw(t, "account"), rapid.SampledFrom([]primrosespar.Class{"a-urgent", "b-normal", "c-cheap"}).Draw(t, "class")}
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				err = o.offer(key, time.Duration(rapid.IntRange(1, 60_000).Draw(t, "patience"))*time.Millisecond)
				if err != nil {
					return err
				}
			}
		case 4, 5, 6, 7:
			if err = o.next(); err == nil && len(o.running) > 4 {
				o.release(rapid.IntRange(0, len(o.running)-1).Draw(t, "which"))
			}
		case 8:
			o.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond)
		case 9:
			list := o.waiting[classKey{"two", "c-cheap"}]
			if len(list) > 0 && sut.Cancel(list[0]) {
				o.removeWaiting(list[0])
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func newAdmitter(now time.Time) *admitter.Admitter {
	a := admitter.New("p")
	a.SetContracts(contracts(1), now)
	a.SetCurrent(true, now)
	a.SetHosts(2, 0, now)
	return a
}

// TestAdmitterAgainstOracle guards against exceeded limits, starved classes,
// lost calls and calls served out of deadline order.
func TestAdmitterAgainstOracle(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(r *rapid.T) {
		require.NoError(r, runSequence(r, newAdmitter(now), now))
	})
}

// TestOracleFindsMissingMechanisms guards against an oracle that passes an
// admitter without limits, minimum shares or deadline order.
func TestOracleFindsMissingMechanisms(t *testing.T) {
	now := time.Unix(1000, 0)
	for want, faulty := range map[string]faultyAdmitter{
		"limit exceeded":   {unlimited: true},
		"starved":          {},
		"not the earliest": {lifo: true},
	} {
		found := map[string]int{}
		rapid.Check(t, func(r *rapid.T) {
			sut := faulty
			sut.Admitter, sut.running = newAdmitter(now), map[primrosespar.Class]int{}
			if err := runSequence(r, &sut, now); err != nil {
				found[err.Error()[:7]]++
			}
		})
		t.Logf("%s: violations by kind %v", want, found)
		require.Positive(t, found[want[:7]], want)
	}
}
