package admitter

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// absent is the index of an element that is in no heap.
const absent = -1

// Bands order the classes of all accounts: urgent before the rest, and within
// both by the power of ten of the cost of lateness.
const (
	bandCount  = 6
	costHigh   = 100
	costMedium = 10
)

// Weight of the newest service time in the moving estimate, and the time in
// which an estimate without new samples halves. Without the decay a class
// whose estimate exceeds its deadline would be shed for ever.
const (
	sampleWeight = 0.125
	halfLife     = 5 * time.Second
)

// bandOf returns the band of a class, 0 first.
func bandOf(t primrosespar.ClassTerms) int {
	band := 2
	if t.LatenessCost >= costMedium {
		band = 1
	}
	if t.LatenessCost >= costHigh {
		band = 0
	}
	if !t.Urgent {
		band += bandCount / 2
	}
	return band
}

// Ticket is one call in the admitter.
type Ticket struct {
	request Request
	queue   *queue
	index   int
	running bool
}

// Request returns the call's request.
func (t *Ticket) Request() Request { return t.request }

// account is one client account with its fair queueing tags.
type account struct {
	weight       float64
	share, total int
	classes      map[primrosespar.Class]*queue
	lanes        [bandCount]*lane
	start        float64
	finish       float64
	// dropped says that the contract is gone and calls are still in flight.
	dropped bool
	// ready counts the classes that could start a call.
	ready int
}

// newAccount returns an account with empty lanes.
func newAccount() *account {
	acc := &account{classes: map[primrosespar.Class]*queue{}}
	for band := range acc.lanes {
		acc.lanes[band] = &lane{account: acc, band: band, index: absent}
	}
	return acc
}

// lane holds the classes of one account in one band.
type lane struct {
	account *account
	band    int
	queues  []*queue
	index   int
}

// earliest returns the startable queue whose head has the earliest deadline.
// The number of classes of an account is bounded by its contract.
func (l *lane) earliest() *queue {
	var best *queue
	for _, q := range l.queues {
		if q.startable() && (best == nil || q.calls.before(q.calls[0], best.calls[0])) {
			best = q
		}
	}
	return best
}

// remove takes the class out of the lane.
func (l *lane) remove(q *queue) {
	l.queues = slices.DeleteFunc(l.queues, func(o *queue) bool { return o == q })
}

// queue holds the waiting calls of one class in deadline order.
type queue struct {
	account *account
	lane    *lane
	terms   primrosespar.ClassTerms
	limiter *rate.Limiter
	// filled says that the limiter has had the full burst of a current view.
	filled  bool
	calls   callHeap
	limit   int
	running int
	// dropped says that the contract no longer names the class.
	dropped bool
	// due is the number of starts at which the minimum share takes effect.
	due      uint64
	dueIndex int
	mean     time.Duration
	sampled  time.Time
}

// startable reports whether the class has a waiting call below its limit.
func (q *queue) startable() bool { return len(q.calls) > 0 && q.running < q.limit }

// setRate changes the limiter and keeps its tokens. The bucket starts full,
// once, when the class is first known and once when its full terms first
// apply; a later change of view or hosts grants no new burst.
func (q *queue) setRate(perSecond float64, burst int, current bool, now time.Time) {
	if q.limiter == nil || (current && !q.filled) {
		q.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		q.filled = current
		return
	}
	q.limiter.SetLimitAt(now, rate.Limit(perSecond))
	q.limiter.SetBurstAt(now, burst)
}

// push adds a call.
func (q *queue) push(t *Ticket) { heap.Push(&q.calls, t) }

// take removes the call at the index.
func (q *queue) take(index int) *Ticket { return heap.Remove(&q.calls, index).(*Ticket) }

// observe adds a service time to the moving estimate.
func (q *queue) observe(service time.Duration, now time.Time) {
	if q.sampled.IsZero() {
		q.mean = service
	} else {
		q.mean += time.Duration(sampleWeight * float64(service-q.mean))
	}
	q.sampled = now
}

// estimate returns the expected service time, halved for each half life that
// passed since the last sample.
func (q *queue) estimate(now time.Time) time.Duration {
	if q.sampled.IsZero() {
		return 0
	}
	age := now.Sub(q.sampled).Seconds() / halfLife.Seconds()
	return time.Duration(float64(q.mean) * math.Exp2(-math.Max(0, age)))
}

// late reports whether a call that started now would miss the deadline.
func (q *queue) late(deadline, now time.Time) bool {
	return !now.Add(q.estimate(now)).Before(deadline)
}

// refresh updates the heaps after the class changed.
func (a *Admitter) refresh(q *queue) {
	if q.dropped {
		return
	}
	ready := q.startable()
	acc := q.account
	if ready && q.dueIndex == absent {
		if acc.ready == 0 {
			acc.start = math.Max(a.virtual, acc.finish)
		}
		acc.ready++
		q.due = a.started + uint64(max(minPeriod, duePerClass*(len(a.due)+1)))
		heap.Push(&a.due, q)
	}
	if !ready {
		a.removeDue(q)
	}
	a.refreshLane(q.lane)
}

// removeDue takes the class out of the heap of minimum shares.
func (a *Admitter) removeDue(q *queue) {
	if q.dueIndex == absent {
		return
	}
	heap.Remove(&a.due, q.dueIndex)
	q.account.ready--
}

// refreshLane puts the lane into the heap of its band or takes it out.
func (a *Admitter) refreshLane(l *lane) {
	band := &a.bands[l.band]
	ready := l.earliest() != nil
	switch {
	case ready && l.index == absent:
		heap.Push(band, l)
	case ready:
		heap.Fix(band, l.index)
	case l.index != absent:
		heap.Remove(band, l.index)
	}
}

// fixAccount restores the heap order after the account's start tag changed.
func (a *Admitter) fixAccount(acc *account) {
	for _, l := range acc.lanes {
		if l.index != absent {
			heap.Fix(&a.bands[l.band], l.index)
		}
	}
}
