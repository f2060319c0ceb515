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

// Priority bands. Urgent classes come before the others, and each of the two
// groups has three bands by cost of lateness: from costHigh, from costMedium,
// and below.
const (
	bandCount  = 6
	costHigh   = 100
	costMedium = 10
)

// Parameters of the service time estimate, an exponential moving average.
// sampleWeight is the weight of the newest sample. Without new samples the
// estimate halves every halfLife; without this decay a class whose estimate
// exceeds its deadline would never start a call again.
const (
	sampleWeight = 0.125
	halfLife     = 5 * time.Second
)

// bandOf returns the band of a class; band 0 is served first.
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

// Ticket is a call that was admitted to a queue, waiting or running.
type Ticket struct {
	request   Request
	queue     *queue
	heapIndex int
	running   bool
}

// Request returns the request that was passed to Offer.
func (t *Ticket) Request() Request { return t.request }

// account is one client account with its fair queueing state.
type account struct {
	weight            float64
	share, totalShare int
	classes           map[primrosespar.Class]*queue
	flows             [bandCount]*flow
	// startTag is the virtual start time of the next call, finishTag the
	// virtual finish time of the last call that was started.
	startTag  float64
	finishTag float64
	// dropped is set if the contract was removed while calls are in flight.
	dropped bool
	// startable counts the classes with a waiting call below their limit.
	startable int
}

// newAccount returns an account with an empty flow in each band.
func newAccount() *account {
	acc := &account{classes: map[primrosespar.Class]*queue{}}
	for band := range acc.flows {
		acc.flows[band] = &flow{account: acc, band: band, heapIndex: notInHeap}
	}
	return acc
}

// flow holds the classes of one account in one band; it is the unit of fair
// queueing.
type flow struct {
	account   *account
	band      int
	queues    []*queue
	heapIndex int
}

// earliest returns the startable queue whose head has the earliest deadline.
// The number of classes of an account is bounded by its contract.
func (f *flow) earliest() *queue {
	var best *queue
	for _, q := range f.queues {
		if q.startable() && (best == nil || q.calls.before(q.calls[0], best.calls[0])) {
			best = q
		}
	}
	return best
}

// remove removes the class from the flow.
func (f *flow) remove(q *queue) {
	f.queues = slices.DeleteFunc(f.queues, func(o *queue) bool { return o == q })
}

// queue holds the waiting calls of one class in deadline order.
type queue struct {
	account *account
	flow    *flow
	terms   primrosespar.ClassTerms
	limiter *rate.Limiter
	// fullBurstGranted is set once the limiter was filled to the burst of the
	// full terms.
	fullBurstGranted bool
	calls            callHeap
	limit            int
	running          int
	// dropped is set if the class was removed from the contract.
	dropped bool
	// dueAt is the start count from which the queue is served before the bands.
	dueAt           uint64
	dueHeapIndex    int
	meanServiceTime time.Duration
	lastSampleAt    time.Time
}

// startable reports whether the class has a waiting call below its limit.
func (q *queue) startable() bool { return len(q.calls) > 0 && q.running < q.limit }

// setRate changes the rate and burst of the limiter and keeps its tokens. The
// bucket is filled only when the class is first known and when its full terms
// first apply; a later change of the view or of the hosts grants no new burst.
func (q *queue) setRate(perSecond float64, burst int, current bool, now time.Time) {
	if q.limiter == nil || (current && !q.fullBurstGranted) {
		q.limiter = rate.NewLimiter(rate.Limit(perSecond), burst)
		q.fullBurstGranted = current
		return
	}
	q.limiter.SetLimitAt(now, rate.Limit(perSecond))
	q.limiter.SetBurstAt(now, burst)
}

// push adds a waiting call.
func (q *queue) push(t *Ticket) { heap.Push(&q.calls, t) }

// removeAt removes and returns the call at the heap index.
func (q *queue) removeAt(index int) *Ticket { return heap.Remove(&q.calls, index).(*Ticket) }

// observe adds a service time to the moving average.
func (q *queue) observe(service time.Duration, now time.Time) {
	if q.lastSampleAt.IsZero() {
		q.meanServiceTime = service
	} else {
		q.meanServiceTime += time.Duration(sampleWeight * float64(service-q.meanServiceTime))
	}
	q.lastSampleAt = now
}

// estimate returns the expected service time: the moving average, halved for
// each halfLife since the last sample.
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

// updateHeaps updates the heaps after the waiting calls, the running calls or
// the limit of the class changed. A queue that becomes startable gets its due
// count, and the first one of an account sets the start tag of the account.
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

// removeDue removes the queue from dueQueues.
func (a *Admitter) removeDue(q *queue) {
	if q.dueHeapIndex == notInHeap {
		return
	}
	heap.Remove(&a.dueQueues, q.dueHeapIndex)
	q.account.startable--
}

// updateFlow adds the flow to the heap of its band, moves it or removes it,
// depending on whether it has a startable queue.
func (a *Admitter) updateFlow(f *flow) {
	band := &a.bands[f.band]
	startable := f.earliest() != nil
	switch {
	case startable && f.heapIndex == notInHeap:
		heap.Push(band, f)
	case startable:
		heap.Fix(band, f.heapIndex)
	case f.heapIndex != notInHeap:
		heap.Remove(band, f.heapIndex)
	}
}

// fixFlows restores the heap order after the account's start tag changed.
func (a *Admitter) fixFlows(acc *account) {
	for _, f := range acc.flows {
		if f.heapIndex != notInHeap {
			heap.Fix(&a.bands[f.band], f.heapIndex)
		}
	}
}
