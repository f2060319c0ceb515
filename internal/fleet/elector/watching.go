package elector

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/committer"
)

// watchSilentHolder reads the lease row instead of sending a heartbeat, which
// takes long to fail, while the holder is silent and the row does not change.
// It reports whether it did.
func (e *Elector) watchSilentHolder(ctx context.Context, terms *conc.WaitGroup) bool {
	e.mu.Lock()
	silent, watching, seen := e.holderSilent, e.watching, e.seenVersion
	e.mu.Unlock()
	if !silent || !watching {
		return false
	}
	e.watchLease(ctx, terms, takeoverDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	// A row that changes shows that the holder lives.
	e.holderSilent = e.watching && e.seenVersion == seen
	return true
}

// setHolderSilent records whether heartbeats to the holder fail.
func (e *Elector) setHolderSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holderSilent = silent
}

// takeoverWait returns the time until the lease row has to be read again: when
// a takeover is due, and at least each watchInterval.
func (e *Elector) takeoverWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.watching {
		return watchInterval
	}
	due := takeoverDelay + e.rankDelay() - e.parts.Clock.Since(e.versionSeenAt)
	return min(max(due, minWatchInterval), watchInterval)
}

// searchWait returns the time until the next step of a host that has read the
// lease row because it searched the holder: less while another host acquires the
// lease.
func (e *Elector) searchWait() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.watching && e.holder.Host == "" && e.holder.Token > 0 {
		return freeLeaseInterval
	}
	return watchInterval
}

// holderSilence returns the time since the holder last answered.
func (e *Elector) holderSilence() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.parts.Clock.Since(e.lastReplyAt)
}

// stopWatching stops watching the lease row; the next watch starts anew.
func (e *Elector) stopWatching() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watching = false
}

// watchLease reads the lease row and acquires the lease if it is free or if the
// row has not changed for minUnchanged.
func (e *Elector) watchLease(ctx context.Context, terms *conc.WaitGroup, minUnchanged time.Duration) {
	readCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	startedAt := e.parts.Clock.Now()
	row, err := e.parts.Committer.Read(readCtx)
	e.recordReadTime(e.parts.Clock.Since(startedAt))
	if err != nil {
		e.parts.OnError("election", err)
		e.dropRequest()
		// The row may have changed while it could not be read.
		e.stopWatching()
		e.forgetReply()
		return
	}
	if !e.observeLease(row, minUnchanged) {
		return
	}
	acquireCtx, cancelAcquire := context.WithTimeout(ctx, acquireTimeout)
	defer cancelAcquire()
	switch err := e.parts.Committer.Acquire(acquireCtx, row); primrosespar.CodeOf(err) {
	case primrosespar.CodeOK:
		e.startTerm(ctx, terms)
	case primrosespar.CodeConflict:
		e.stopWatching()
	default:
		e.parts.OnError("election", err)
	}
}

// observeLease records a read of the lease row and reports whether this host
// should try to acquire the lease.
func (e *Elector) observeLease(row committer.Holder, minUnchanged time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.parts.Clock.Now()
	if row.Token != e.holder.Token || row.Host != e.holder.Host || !e.holderKnown {
		e.holder, e.holderKnown, e.holderSilent = row, true, false
		e.lastReplyAt = now
		e.parts.OnChange(row.Host, row.Token, "read from the store")
	}
	if !e.watching || row.Version != e.seenVersion {
		e.watching, e.seenVersion, e.versionSeenAt = true, row.Version, now
		if row.Version > 0 && row.Version == e.repliedVersion {
			e.versionSeenAt = e.repliedAt
		}
	}
	if e.resigned {
		return false
	}
	if e.parts.Committer.IsOwn(row) || e.mayTakeOver(row) {
		return true
	}
	if row.Host == "" {
		return now.Sub(e.versionSeenAt) >= e.rankDelay()+e.weightDelay()
	}
	if row.Token == e.resignedToken {
		minUnchanged = 0
	}
	return now.Sub(e.versionSeenAt) >= minUnchanged+e.rankDelay()
}

// mayTakeOver reports whether the holder in the row has asked this host to
// replace it, and drops the request. A store that is slow, or was down for this
// host as well, is no reason to replace a holder: it commits again as soon as
// another host does. The caller holds the lock.
func (e *Elector) mayTakeOver(row committer.Holder) bool {
	asked := e.asked
	e.asked = false
	if row.Host == "" {
		return asked
	}
	return asked && row.Token == e.askedToken && e.storeReadTime <= slowReadTime &&
		(e.readFailedAt.IsZero() || e.parts.Clock.Since(e.readFailedAt) > sharedOutageTime)
}

// dropRequest drops the request of a holder to replace it, since the lease row
// could not be read.
func (e *Elector) dropRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked, e.readFailedAt = false, e.parts.Clock.Now()
}

// stalledDelay returns how long the lease row must not have changed before a
// takeover from a holder that lives and waits for the store. With a slow store
// the attempts to take over only delay its commit.
func (e *Elector) stalledDelay() time.Duration {
	if e.StoreSlow() {
		return startupTakeoverDelay
	}
	return stalledTakeoverDelay
}

// forgetReply drops the version of the lease row in the last reply. After an
// outage of the store the holder gets time to write the row again.
func (e *Elector) forgetReply() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.repliedVersion = 0
}

// recordReadTime records how long a read of the lease row took.
func (e *Elector) recordReadTime(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.storeReadTime, e.storeReadAt = d, e.parts.Clock.Now()
}

// StoreSlow reports whether the store was slow when this host read the lease row
// a moment ago, as it does while there is no holder.
func (e *Elector) StoreSlow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.storeReadTime > slowReadTime && e.parts.Clock.Since(e.storeReadAt) < readTimeout
}
