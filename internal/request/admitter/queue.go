package admitter

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// notInHeap is the index of an element that is in no heap.
const notInHeap = -1

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
	request   Request
	queue     *queue
	heapIndex int
	running   bool
}

// Request returns the call's request.
func (t *Ticket) Request() Request { return t.request }

// account is one client account with its fair queueing tags.
type account struct {
	weight            float64
	share, totalShare int
	classes           map[primrosespar.Class]*queue
	flows             [bandCount]*flow
	startTag          float64
	finishTag         float64
	// dropped says that the contract is gone and calls are still in flight.
	dropped bool
	// startable counts the classes that could start a call.
	startable int
}

// newAccount returns an account with empty lanes.
func newAccount() *account {
	acc := &account{classes: map[primrosespar.Class]*queue{}}
	for band := range acc.flows {
		acc.flows[band] = &flow{account: acc, band: band, heapIndex: notInHeap}
	}
	return acc
}

// flow holds the classes of one account in one band.
type flow struct {
	account   *account
	band      int
	queues    []*queue
	heapIndex int
}

// earliest returns the startable queue whose head has the earliest deadline.
// The number of classes of an account is bounded by its contract.
func (l *flow) earliest() *queue {
	var best *queue
	for _, q := range l.queues {
		if q.startable() && (best == nil || q.calls.before(q.calls[0], best.calls[0])) {
			best = q
		}
	}
	return best
}

// remove takes the class out of the lane.
func (l *flow) remove(q *queue) {
	l.queues = slices.DeleteFunc(l.queues, func(o *queue) bool { return o == q })
}

// queue holds the waiting calls of one class in deadline order.
type queue struct {
	account *account
	flow    *flow
	terms   primrosespar.ClassTerms
	limiter *rate.Limiter
	// fullBurstGranted says that the limiter has had the full burst of a current view.
	fullBurstGranted bool
	calls            callHeap
	limit            int
	running          int
	// dropped says that the contract no longer names the class.
	dropped bool
	// dueAt is the number of starts at which the minimum share takes effect.
	dueAt           uint64
	dueHeapIndex    int
	meanServiceTime time.Duration
	lastSampleAt    time.Time
}

// startable reports whether the class has a waiting call below its limit.
func (q *queue) startable() bool { return len(q.calls) > 0 && q.running < q.limit }

// setRate changes the limiter and keeps its tokens. The bucket starts full,
// once, when the class is first known and once when its full terms first
// apply; a later change of view or hosts grants no new burst.
func (q *queue) setRate(perSecond float64, burst int, current bool, now time.Time) {
	if q.limiter == nil || (current && !q.fullBurstGranted) {
		q.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		q.fullBurstGranted = current
		return
	}
	q.limiter.SetLimitAt(now, rate.Limit(perSecond))
	q.limiter.SetBurstAt(now, burst)
}

// push adds a call.
func (q *queue) push(t *Ticket) { heap.Push(&q.calls, t) }

// removeAt removes the call at the index.
func (q *queue) removeAt(index int) *Ticket { return heap.Remove(&q.calls, index).(*Ticket) }

// observe adds a service time to the moving estimate.
func (q *queue) observe(service time.Duration, now time.Time) {
	if q.lastSampleAt.IsZero() {
		q.meanServiceTime = service
	} else {
		q.meanServiceTime += time.Duration(sampleWeight * float64(service-q.meanServiceTime))
	}
	q.lastSampleAt = now
}

// estimate returns the expected service time, halved for each half life that
// passed since the last sample.
func (q *queue) estimate(now time.Time) time.Duration {
	if q.lastSampleAt.IsZero() {
		return 0
	}
	age := now.Sub(q.lastSampleAt).Seconds() / halfLife.Seconds()
	return time.Duration(float64(q.meanServiceTime) * math.Exp2(-math.Max(0, age)))
}

// wouldBeLate reports whether a call that started now would miss the deadline.
func (q *queue) wouldBeLate(deadline, now time.Time) bool {
	return !now.Add(q.estimate(now)).Before(deadline)
}

// updateHeaps updates the heaps after the class changed.
func (a *Admitter) updateHeaps(q *queue) {
	if q.dropped {
		return
	}
	startable := q.startable()
	acc := q.account
	if startable && q.dueHeapIndex == notInHeap {
		if acc.startable == 0 {
			acc.startTag = math.Max(a.virtualTime, acc.finishTag)
		}
		acc.startable++
		q.dueAt = a.startCount + uint64(max(minStartsUntilDue, startsUntilDuePerClass*(len(a.dueQueues)+1)))
		heap.Push(&a.dueQueues, q)
	}
	if !startable {
		a.removeDue(q)
	}
	a.updateFlow(q.flow)
}

// removeDue takes the class out of the heap of minimum shares.
func (a *Admitter) removeDue(q *queue) {
	if q.dueHeapIndex == notInHeap {
		return
	}
	heap.Remove(&a.dueQueues, q.dueHeapIndex)
	q.account.startable--
}

// updateFlow puts the lane into the heap of its band or takes it out.
func (a *Admitter) updateFlow(l *flow) {
	band := &a.bands[l.band]
	startable := l.earliest() != nil
	switch {
	case startable && l.heapIndex == notInHeap:
		heap.Push(band, l)
	case startable:
		heap.Fix(band, l.heapIndex)
	case l.heapIndex != notInHeap:
		heap.Remove(band, l.heapIndex)
	}
}

// fixFlows restores the heap order after the account's start tag changed.
func (a *Admitter) fixFlows(acc *account) {
	for _, l := range acc.flows {
		if l.heapIndex != notInHeap {
			heap.Fix(&a.bands[l.band], l.heapIndex)
		}
	}
}
