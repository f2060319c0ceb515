package keeper

import (
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"primrosespar.example/primrosespar"
)

// Default rate limits, shared by all callers.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// Faults selects the faults to inject; the zero value injects none. For the
// rate limits, a Commit or Put counts as one write and a Get, Scan, Fetch or
// Names as one read, whatever the number of rows. List is not limited.
type Faults struct {
	// Outage, ObjectsOutage and ListOutage make the table, the object store
	// and the host list refuse every call.
	Outage        bool `json:"outage"`
	ObjectsOutage bool `json:"objects_outage"`
	ListOutage    bool `json:"list_outage"`
	// Silent makes the HTTP server drop the connection where it would
	// otherwise answer that the store is unavailable.
	Silent bool `json:"silent"`
	// Slow delays each call before it has any effect.
	Slow time.Duration `json:"slow"`
	// LoseEvery loses the answer to every nth commit after it took effect.
	LoseEvery int `json:"lose_every"`
	// LoseShare loses the answers to this share of the commits, 0 to 1;
	// LoseSeed seeds the choice.
	LoseShare float64 `json:"lose_share"`
	LoseSeed  uint64  `json:"lose_seed"`
	// WritesPerSecond and ReadsPerSecond are the rate limits. 0 selects the
	// default; a negative value removes the limit.
	WritesPerSecond float64 `json:"writes_per_second"`
	ReadsPerSecond  float64 `json:"reads_per_second"`
	// ListLag is the age of the host list that callers get.
	ListLag time.Duration `json:"list_lag"`
	// Cut lists the places that are cut off: their calls are refused.
	Cut []primrosespar.Place `json:"cut"`
}

// Counts are totals since the Keeper was created.
type Counts struct {
	// Transactions counts commits that took effect, Writes the rows that they
	// wrote or deleted.
	Transactions uint64 `json:"transactions"`
	Writes       uint64 `json:"writes"`
	Conflicts    uint64 `json:"conflicts"`
	// Reads counts Get and Scan calls, RowsRead the rows that they returned.
	Reads       uint64 `json:"reads"`
	RowsRead    uint64 `json:"rows_read"`
	ObjectPuts  uint64 `json:"object_puts"`
	ObjectReads uint64 `json:"object_reads"`
	ListReads   uint64 `json:"list_reads"`
	LostAnswers uint64 `json:"lost_answers"`
	// Throttled counts calls refused for a rate limit, Refused those refused
	// during an outage or from a place that is cut off.
	Throttled uint64 `json:"throttled"`
	Refused   uint64 `json:"refused"`
}

// SetFaults replaces the faults. A rate limiter whose rate changes starts with
// its full burst.
func (k *Keeper) SetFaults(faults Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	faults.Cut = slices.Clone(faults.Cut)
	if k.writeLimit == nil || faults.WritesPerSecond != k.faults.WritesPerSecond {
		k.writeLimit = newLimiter(faults.WritesPerSecond, DefaultWritesPerSecond)
	}
	if k.readLimit == nil || faults.ReadsPerSecond != k.faults.ReadsPerSecond {
		k.readLimit = newLimiter(faults.ReadsPerSecond, DefaultReadsPerSecond)
	}
	k.faults = faults
}

// Faults returns the faults that are in effect.
func (k *Keeper) Faults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	faults := k.faults
	faults.Cut = slices.Clone(faults.Cut)
	return faults
}

// Counts returns the totals.
func (k *Keeper) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Reachable reports whether calls from the place reach the platform, that is
// whether the place is not cut off.
func (k *Keeper) Reachable(place primrosespar.Place) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !slices.Contains(k.faults.Cut, place)
}

// newLimiter returns a limiter whose burst is the number of calls of one
// second, so that callers that stay below the rate on average are not refused
// for arriving at the same time.
func newLimiter(perSecond, defaultPerSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = defaultPerSecond
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// delay waits for Faults.Slow. It returns an error, before the call has any
// effect, if the context ends first.
func (k *Keeper) delay(ctx context.Context) error {
	k.mu.Lock()
	slow := k.faults.Slow
	k.mu.Unlock()
	if slow <= 0 {
		return nil
	}
	select {
	case <-k.clock.After(slow):
		return nil
	case <-ctx.Done():
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "caller gave up before the call took effect").WithCause(ctx.Err())
	}
}

// operation is the kind of a call to the table or the object store.
type operation int

const (
	tableRead operation = iota
	tableWrite
	objectRead
	objectWrite
)

// beginCall waits for Faults.Slow, locks the Keeper and admits the call. On
// success the lock stays held and the caller must unlock it.
func (k *Keeper) beginCall(ctx context.Context, op operation) error {
	if err := k.delay(ctx); err != nil {
		return err
	}
	k.mu.Lock()
	outage, limit := k.faults.Outage, k.readLimit
	if op == objectRead || op == objectWrite {
		outage = k.faults.ObjectsOutage
	}
	if op == tableWrite || op == objectWrite {
		limit = k.writeLimit
	}
	if err := k.admit(ctx, outage, limit); err != nil {
		k.mu.Unlock()
		return err
	}
	return nil
}

// admit returns an error during an outage, for a call from a place that is cut
// off and for a call over the rate limit. limit may be nil.
func (k *Keeper) admit(ctx context.Context, outage bool, limit *rate.Limiter) error {
	if outage {
		k.counts.Refused++
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "the service has an outage")
	}
	if slices.Contains(k.faults.Cut, placeOf(ctx)) {
		k.counts.Refused++
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "place %s is cut off", placeOf(ctx))
	}
	if limit != nil && !limit.AllowN(k.clock.Now(), 1) {
		k.counts.Throttled++
		return primrosespar.Fail(primrosespar.CodeStoreUnavailable, "rate limit of %g calls per second exceeded", float64(limit.Limit()))
	}
	return nil
}

// losesAnswer reports whether the answer to the commit that just took effect is
// lost.
func (k *Keeper) losesAnswer() bool {
	commits := k.counts.Transactions
	if every := k.faults.LoseEvery; every > 0 && commits%uint64(every) == 0 {
		return true
	}
	if k.faults.LoseShare <= 0 {
		return false
	}
	var hashInput [16]byte
	binary.LittleEndian.PutUint64(hashInput[:8], k.faults.LoseSeed)
	binary.LittleEndian.PutUint64(hashInput[8:], commits)
	// The top 53 bits give a uniformly distributed value in [0, 1).
	return float64(xxhash.Sum64(hashInput[:])>>11)/(1<<53) < k.faults.LoseShare
}
