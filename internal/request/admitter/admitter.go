// Package admitter does the admission control of one host: it decides which
// calls are queued, which one runs next and which are shed. All limits come
// from the contracts, multiplied by the account's share in the place and
// divided by the number of live hosts.
//
// Rate limits apply on arrival. Waiting calls are chosen by priority band
// (urgency and cost of lateness), then between accounts by start-time fair
// queueing, and within an account by earliest deadline. A minimum share for
// each class with waiting calls prevents starvation.
//
// # Usage
//
// An Admitter is not safe for concurrent use and reads no clock:
//
//	a := admitter.New(place)
//	a.SetContracts(view, now)
//	a.SetHosts(live, rank, now)
//	ticket, shed, err := a.Offer(admitter.Request{Account: "bascule", Class: "eligibility", Deadline: deadline}, now)
//	running, shed := a.Next(now) // when a slot is free
//	a.Release(running, service, true, now)
//
// Errors are *primrosespar.Failure; the refused call did not run.
package admitter

import (
	"math"
	"time"

	"primrosespar.example/primrosespar"
)

// minStartsUntilDue is the least number of starts after which a class with
// waiting calls is due, that is, served before the bands.
const minStartsUntilDue = 16

// startsUntilDuePerClass multiplies the number of startable classes to give the
// starts until a class is due. At 4, minimum shares use at most a quarter of
// all starts.
const startsUntilDuePerClass = 4

// Request is a call that asks for admission.
type Request struct {
	Account  primrosespar.Account
	Class    primrosespar.Class
	Deadline time.Time
	// Minted is set if this process minted the key of the call, so that the
	// call may be served without the table.
	Minted bool
}

// Shed is a call that was removed from its queue and refused with Code.
type Shed struct {
	Ticket *Ticket
	Code   primrosespar.Code
}

// Admitter holds the limits and queues of one host.
type Admitter struct {
	place    primrosespar.Place
	accounts map[primrosespar.Account]*account
	bands    [bandCount]flowHeap
	// dueQueues has all startable queues, ordered by dueAt.
	dueQueues dueHeap
	// virtualTime is the largest start tag of a call that was started.
	virtualTime  float64
	startCount   uint64
	hosts        int
	rank         int
	viewCurrent  bool
	waitingCount int
}

// New returns an Admitter without contracts, for one live host and without a
// current view.
func New(place primrosespar.Place) *Admitter {
	return &Admitter{place: place, accounts: map[primrosespar.Account]*account{}, hosts: 1}
}

// SetHosts sets the number of live hosts and the rank of this host among them,
// counted from 0. The remainder of a divided limit goes to the lowest ranks.
func (a *Admitter) SetHosts(live, rank int, now time.Time) {
	if live < 1 {
		live = 1
	}
	if a.hosts == live && a.rank == rank {
		return
	}
	a.hosts, a.rank = live, rank
	a.rescale(now)
}

// SetCurrent sets whether the contract view is current. The full terms apply
// while it is, the offline terms otherwise.
func (a *Admitter) SetCurrent(current bool, now time.Time) {
	if a.viewCurrent == current {
		return
	}
	a.viewCurrent = current
	a.rescale(now)
}

// SetContracts replaces the contracts in force. It returns the waiting calls of
// accounts and classes that were removed; calls in flight finish.
func (a *Admitter) SetContracts(view primrosespar.ContractView, now time.Time) []Shed {
	listed := map[primrosespar.Account]bool{}
	var shed []Shed
	for _, v := range view.Contracts {
		listed[v.Contract.Account] = true
		shed = append(shed, a.setContract(v.Contract)...)
	}
	for name, acc := range a.accounts {
		if !listed[name] {
			shed = append(shed, a.dropClasses(acc, nil, primrosespar.CodeUnknownAccount)...)
			acc.dropped = true
			if len(acc.classes) == 0 {
				delete(a.accounts, name)
			}
		}
	}
	a.rescale(now)
	return shed
}

// setContract creates or updates one account and returns the waiting calls of
// its removed classes.
func (a *Admitter) setContract(c primrosespar.Contract) []Shed {
	acc := a.accounts[c.Account]
	if acc == nil {
		acc = newAccount()
		a.accounts[c.Account] = acc
	}
	acc.dropped = false
	acc.weight = max(1, float64(c.Weight))
	acc.share, acc.totalShare = c.ShareIn(a.place)
	keep := map[primrosespar.Class]bool{}
	var shed []Shed
	for _, t := range c.Classes {
		if t.Kind != primrosespar.KindRequest {
			continue
		}
		keep[t.Class] = true
		q := acc.classes[t.Class]
		if q == nil {
			q = &queue{account: acc, dueHeapIndex: notInHeap}
			acc.classes[t.Class] = q
		}
		a.setTerms(q, t)
	}
	return append(shed, a.dropClasses(acc, keep, primrosespar.CodeUnknownClass)...)
}

// setTerms replaces the terms of the class and moves it to the flow of its
// band.
func (a *Admitter) setTerms(q *queue, t primrosespar.ClassTerms) {
	q.dropped = false
	q.terms = t
	flow := q.account.flows[bandOf(t)]
	if q.flow == flow {
		return
	}
	if old := q.flow; old != nil {
		old.remove(q)
		a.updateFlow(old)
	}
	q.flow = flow
	flow.queues = append(flow.queues, q)
}

// dropClasses removes the classes that are not in keep and sheds their waiting
// calls. A class with calls in flight stays in the account until they end, so
// that they count towards its limit if an amendment restores the class.
func (a *Admitter) dropClasses(acc *account, keep map[primrosespar.Class]bool, code primrosespar.Code) []Shed {
	var shed []Shed
	for name, q := range acc.classes {
		if keep[name] {
			continue
		}
		for len(q.calls) > 0 {
			shed = append(shed, Shed{Ticket: a.removeWaiting(q, 0), Code: code})
		}
		a.updateHeaps(q)
		q.dropped = true
		if q.running == 0 {
			q.flow.remove(q)
			delete(acc.classes, name)
		}
	}
	return shed
}

// rescale recomputes the limits of every class from the share, the number of
// hosts and the state of the view.
func (a *Admitter) rescale(now time.Time) {
	for _, acc := range a.accounts {
		for _, q := range acc.classes {
			limit, perSecond, burst := a.hostLimits(q)
			q.limit = limit
			q.setRate(perSecond, burst, a.viewCurrent, now)
			a.updateHeaps(q)
		}
	}
}

// hostLimits returns the limits of the class at this host, all zero without a
// share in the place or, while the view is not current, without offline terms.
// Otherwise the limit and the burst are at least one on each host, because a
// call may arrive at any host of the place.
func (a *Admitter) hostLimits(q *queue) (limit int, perSecond float64, burst int) {
	acc := q.account
	if acc.share <= 0 || acc.totalShare <= 0 {
		return 0, 0, 0
	}
	fraction := float64(acc.share) / float64(acc.totalShare)
	hosts := float64(a.hosts)
	placeBurst := fraction * float64(q.terms.Burst)
	if !a.viewCurrent {
		offline := q.terms.Offline
		if offline.Concurrency <= 0 || offline.RatePerSecond <= 0 {
			return 0, 0, 0
		}
		perSecond = offline.RatePerSecond / hosts
		burst = int(min(placeBurst/hosts, perSecond))
		return a.divideByHosts(offline.Concurrency), perSecond, max(1, burst)
	}
	limit = a.divideByHosts(int(fraction * float64(q.terms.Concurrency)))
	return limit, q.terms.RatePerSecond * fraction / hosts, max(1, int(placeBurst/hosts))
}

// divideByHosts returns this host's part of a limit of the place.
func (a *Admitter) divideByHosts(limit int) int {
	hostLimit := limit / a.hosts
	if a.rank < limit%a.hosts {
		hostLimit++
	}
	return max(1, hostLimit)
}

// Offer puts the call into the queue of its class or refuses it. It also
// returns calls that were shed to make room.
func (a *Admitter) Offer(r Request, now time.Time) (*Ticket, []Shed, error) {
	q, err := a.findQueue(r)
	if err != nil {
		return nil, nil, err
	}
	if !a.viewCurrent && !q.terms.Idempotent && !r.Minted {
		return nil, nil, primrosespar.Fail(primrosespar.CodeRestricted, "class %s is not idempotent and the contract view is not current", r.Class)
	}
	if q.limit == 0 {
		return nil, nil, primrosespar.Fail(primrosespar.CodeRestricted, "class %s has no offline terms", r.Class)
	}
	if q.wouldBeLate(r.Deadline, now) {
		return nil, nil, primrosespar.Fail(primrosespar.CodeWouldBeLate, "class %s is expected to take %s, longer than the time until the deadline", r.Class, q.estimate(now))
	}
	var shed []Shed
	if len(q.calls) >= max(1, q.terms.Queue) {
		shed = a.shedLate(q, now, nil)
	}
	if len(q.calls) >= max(1, q.terms.Queue) {
		return nil, shed, primrosespar.Fail(primrosespar.CodeQueueFull, "%d calls of class %s are already waiting", len(q.calls), r.Class)
	}
	if !q.limiter.AllowN(now, 1) {
		return nil, shed, primrosespar.Fail(primrosespar.CodeRateLimited, "class %s is limited to %.3g calls per second at this host", r.Class, float64(q.limiter.Limit()))
	}
	t := &Ticket{request: r, queue: q}
	q.push(t)
	a.waitingCount++
	a.updateHeaps(q)
	return t, shed, nil
}

// findQueue returns the queue for the account and class of the request.
func (a *Admitter) findQueue(r Request) (*queue, error) {
	acc := a.accounts[r.Account]
	if acc == nil || acc.dropped {
		return nil, primrosespar.Fail(primrosespar.CodeUnknownAccount, "no contract for account %s", r.Account)
	}
	q := acc.classes[r.Class]
	if q == nil || q.dropped {
		return nil, primrosespar.Fail(primrosespar.CodeUnknownClass, "no request class %s in the contract of account %s", r.Class, r.Account)
	}
	if acc.share <= 0 {
		return nil, primrosespar.Fail(primrosespar.CodeWrongPlace, "account %s has no share in %s", r.Account, a.place)
	}
	return q, nil
}

// Next starts and returns the call that takes the next free slot, or nil if
// none can start. It also returns the calls that were shed during the choice.
func (a *Admitter) Next(now time.Time) (*Ticket, []Shed) {
	var shed []Shed
	for {
		q := a.chooseQueue()
		if q == nil {
			return nil, shed
		}
		before := len(shed)
		shed = a.shedLate(q, now, shed)
		if len(shed) > before {
			continue
		}
		return a.startHead(q), shed
	}
}

// chooseQueue returns the queue to serve next: that of an overdue class if
// there is one, else one from the flow with the lowest start tag in the most
// urgent band.
func (a *Admitter) chooseQueue() *queue {
	if len(a.dueQueues) > 0 && a.dueQueues[0].dueAt <= a.startCount {
		return a.dueQueues[0]
	}
	for band := range a.bands {
		if len(a.bands[band]) > 0 {
			return a.bands[band][0].earliest()
		}
	}
	return nil
}

// startHead starts the first call of the queue and advances the account's tags.
func (a *Admitter) startHead(q *queue) *Ticket {
	t := a.removeWaiting(q, 0)
	t.running = true
	q.running++
	a.startCount++
	acc := q.account
	a.virtualTime = math.Max(a.virtualTime, acc.startTag)
	acc.finishTag = acc.startTag + 1/acc.weight
	acc.startTag = acc.finishTag
	a.removeDue(q)
	a.updateHeaps(q)
	a.fixFlows(acc)
	return t
}

// shedLate removes calls from the front of the queue that would miss their
// deadline or that the offline terms exclude, and appends them to shed. The
// queue is in deadline order, so the check stops at the first call that passes.
func (a *Admitter) shedLate(q *queue, now time.Time, shed []Shed) []Shed {
	for len(q.calls) > 0 {
		head := q.calls[0]
		switch {
		case !head.request.Deadline.After(now):
			shed = append(shed, Shed{a.removeWaiting(q, 0), primrosespar.CodeDeadlinePassed})
		case q.wouldBeLate(head.request.Deadline, now):
			shed = append(shed, Shed{a.removeWaiting(q, 0), primrosespar.CodeWouldBeLate})
		case !a.viewCurrent && !q.terms.Idempotent && !head.request.Minted:
			shed = append(shed, Shed{a.removeWaiting(q, 0), primrosespar.CodeRestricted})
		default:
			a.updateHeaps(q)
			return shed
		}
	}
	a.updateHeaps(q)
	return shed
}

// Cancel removes a waiting call whose caller disconnected. It reports false if
// the call is no longer waiting.
func (a *Admitter) Cancel(t *Ticket) bool {
	if t.running || t.heapIndex == notInHeap {
		return false
	}
	a.removeWaiting(t.queue, t.heapIndex)
	a.updateHeaps(t.queue)
	return true
}

// Release ends a call that was started. If it was served, its service time
// updates the estimate of the class.
func (a *Admitter) Release(t *Ticket, service time.Duration, served bool, now time.Time) {
	if !t.running {
		return
	}
	t.running = false
	t.queue.running--
	if served {
		t.queue.observe(service, now)
	}
	a.updateHeaps(t.queue)
	if t.queue.dropped {
		a.removeIfIdle(t)
	}
}

// removeIfIdle removes the dropped class of the ticket once it has no call in
// flight, and its dropped account once that has no class left.
func (a *Admitter) removeIfIdle(t *Ticket) {
	q, name := t.queue, t.request.Account
	if q.running > 0 {
		return
	}
	q.flow.remove(q)
	delete(q.account.classes, t.request.Class)
	if q.account.dropped && len(q.account.classes) == 0 && a.accounts[name] == q.account {
		delete(a.accounts, name)
	}
}

// Waiting returns the number of calls that wait in all queues.
func (a *Admitter) Waiting() int { return a.waitingCount }

// Ready reports whether a call could start if a slot were free.
func (a *Admitter) Ready() bool { return len(a.dueQueues) > 0 }

// removeWaiting removes and returns the call at the index of the queue's heap.
func (a *Admitter) removeWaiting(q *queue, index int) *Ticket {
	a.waitingCount--
	return q.removeAt(index)
}
