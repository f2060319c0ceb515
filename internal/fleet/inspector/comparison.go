package inspector

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"primrosespar.example/primrosespar"
)

// change adds a difference.
func (r *report) change(kind, entry, format string, args ...any) {
	r.add(primrosespar.SeverityChange, kind, entry, format, args...)
}

// Compare returns what the draft changes, compared with the version in force:
// who gains or loses what.
func (i *Inspector) Compare(inForce, draft primrosespar.CatalogDraft) []primrosespar.Finding {
	r := &report{}
	if draft.Version <= inForce.Version {
		r.fail("version_not_newer", "version", "The version %d is not above %d, the one in force.", draft.Version, inForce.Version)
	}
	compareEntries(r, inForce.Queues, draft.Queues, "queue",
		func(q primrosespar.QueueTerms) string { return string(q.Queue) },
		func(q primrosespar.QueueTerms) string { return queueEntry(q.Queue) }, compareQueues)
	compareEntries(r, inForce.Services, draft.Services, "service",
		func(s primrosespar.Service) string { return string(s) }, serviceEntry, func(*report, primrosespar.Service, primrosespar.Service) {})
	compareEntries(r, inForce.Accounts, draft.Accounts, "account",
		func(a primrosespar.AccountDraft) string { return string(a.Account) },
		func(a primrosespar.AccountDraft) string { return accountEntry(a.Account) }, compareAccounts)
	compareLimits(r, inForce.Limits, draft.Limits)
	return r.findings
}

// compareEntries compares two lists of entries, which are matched by their
// names. An entry may be shown with a part of a long name.
func compareEntries[T any](r *report, before, after []T, sort string, name, entry func(T) string, compare func(*report, T, T)) {
	byName := func(list []T) map[string]T {
		entries := make(map[string]T, len(list))
		for _, e := range list {
			entries[name(e)] = e
		}
		return entries
	}
	earlier, later := byName(before), byName(after)
	for _, old := range before {
		if replacement, stays := later[name(old)]; stays {
			compare(r, old, replacement)
		} else {
			r.change(sort+"_removed", entry(old), "The %s is removed.", sort)
		}
	}
	for _, added := range after {
		if _, known := earlier[name(added)]; !known {
			r.change(sort+"_added", entry(added), "The %s is added.", sort)
		}
	}
}

// compareValues reports a value that became lower or higher.
func compareValues[T cmp.Ordered](r *report, kind, entry, name string, before, after T) {
	switch cmp.Compare(after, before) {
	case -1:
		r.change(kind+"_lowered", entry, "The %s falls from %v to %v.", name, before, after)
	case 1:
		r.change(kind+"_raised", entry, "The %s rises from %v to %v.", name, before, after)
	}
}

// compareQueues reports what changes for the callers of a queue.
func compareQueues(r *report, before, after primrosespar.QueueTerms) {
	entry := queueEntry(before.Queue)
	if before.Host != after.Host || before.PathPrefix != after.PathPrefix {
		r.change("route_moved", entry, "Calls to %.100q no longer reach the queue; it is at %.100q.", before.Host+before.PathPrefix, after.Host+after.PathPrefix)
	}
	if before.Service != after.Service {
		r.change("service_changed", entry, "The service changes from %.100q to %.100q.", before.Service, after.Service)
	}
	switch {
	case before.Public && !after.Public:
		r.change("key_needed", entry, "Callers without a key lose the queue.")
	case !before.Public && after.Public:
		r.change("key_not_needed", entry, "Callers without a key gain the queue.")
	}
	switch {
	case before.Advised && !after.Advised:
		r.change("advice_not_needed", entry, "Starts no longer need the advice service.")
	case !before.Advised && after.Advised:
		r.change("advice_needed", entry, "Starts need the advice service.")
	}
	switch {
	case after.Priority > before.Priority:
		r.change("priority_lowered", entry, "The queue falls back from priority %d to %d.", before.Priority, after.Priority)
	case after.Priority < before.Priority:
		r.change("priority_raised", entry, "The queue moves forward from priority %d to %d.", before.Priority, after.Priority)
	}
	compareValues(r, "timeout", entry, "time limit of a call", before.Timeout, after.Timeout)
	compareValues(r, "target", entry, "target", before.Target, after.Target)
	compareValues(r, "attempts", entry, "number of attempts", before.Attempts, after.Attempts)
	compareValues(r, "slack", entry, "slack", before.Slack, after.Slack)
	compareRegions(r, entry, before.Regions, after.Regions)
}

// compareAccounts reports what an account gains or loses.
func compareAccounts(r *report, before, after primrosespar.AccountDraft) {
	entry := accountEntry(before.Account)
	lost, gained := missing(before.Keys, after.Keys), missing(after.Keys, before.Keys)
	if len(lost) > 0 {
		r.change("keys_removed", entry, "Keys taken away: %d; %d stay.", len(lost), len(before.Keys)-len(lost))
	}
	if len(gained) > 0 {
		r.change("keys_added", entry, "Keys added: %d.", len(gained))
	}
	compareValues(r, "guarantee", entry, "guarantee", before.Reserved, after.Reserved)
	compareRegions(r, entry, before.Regions, after.Regions)
}

// missing returns the values that the other list does not have.
func missing[T comparable](values, others []T) []T {
	var result []T
	for _, value := range values {
		if !slices.Contains(others, value) {
			result = append(result, value)
		}
	}
	return result
}

// compareRegions reports regions that are lost or gained. No regions mean all.
func compareRegions(r *report, entry string, before, after []primrosespar.Region) {
	switch {
	case len(before) == 0 && len(after) == 0:
	case len(before) == 0:
		r.change("regions_narrowed", entry, "Work may run only in %s, no longer everywhere.", listRegions(after))
	case len(after) == 0:
		r.change("regions_widened", entry, "Work may run everywhere, no longer only in %s.", listRegions(before))
	default:
		if lost := missing(before, after); len(lost) > 0 {
			r.change("regions_narrowed", entry, "Work may no longer run in %s.", listRegions(lost))
		}
		if gained := missing(after, before); len(gained) > 0 {
			r.change("regions_widened", entry, "Work may also run in %s.", listRegions(gained))
		}
	}
}

func listRegions(regions []primrosespar.Region) string {
	names := make([]string, len(regions))
	for i, region := range regions {
		names[i] = fmt.Sprintf("%.100q", region)
	}
	return strings.Join(names, ", ")
}

// compareLimits reports limits of calls that are tightened or relaxed.
func compareLimits(r *report, before, after primrosespar.LimitsDraft) {
	compareLimit[int64](r, "head", "limit of the head in bytes", before.HeadBytes, after.HeadBytes)
	compareLimit[int64](r, "body", "limit of the body in bytes", before.BodyBytes, after.BodyBytes)
	compareLimit[time.Duration](r, "head_timeout", "time for a head", before.HeadTimeout, after.HeadTimeout)
	compareLimit[time.Duration](r, "idle_timeout", "idle time", before.IdleTimeout, after.IdleTimeout)
}

// compareLimit reports a limit that is set, dropped, lowered or raised.
func compareLimit[T cmp.Ordered](r *report, kind, name string, before, after *T) {
	const entry = "limits"
	switch {
	case before == nil && after == nil:
	case before == nil:
		r.change(kind+"_set", entry, "The %s is set to %v.", name, *after)
	case after == nil:
		r.change(kind+"_dropped", entry, "The %s, %v before, is no longer set.", name, *before)
	default:
		compareValues(r, kind, entry, name, *before, *after)
	}
}
