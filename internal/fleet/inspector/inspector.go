// Package inspector finds the faults of a configuration before it is sent, and
// says what it changes for whom.
//
// # Usage
//
//	i := inspector.New(regions)
//	findings := i.Inspect(draft)
//	changes := i.Compare(inForce, draft)
package inspector

import (
	"fmt"
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
)

// usualHeadBytes is the length of the head of an ordinary request with its key.
const usualHeadBytes = 1 << 10

// Inspector inspects configurations.
type Inspector struct {
	regions []primrosespar.Region
}

// New returns an Inspector for an installation with these regions. Without any,
// the regions of a configuration are not checked.
func New(regions []primrosespar.Region) *Inspector { return &Inspector{regions: regions} }

// report collects findings.
type report struct {
	findings []primrosespar.Finding
}

// add adds a finding.
func (r *report) add(severity primrosespar.Severity, kind, entry, format string, args ...any) {
	r.findings = append(r.findings, primrosespar.Finding{
		Severity: severity, Kind: kind, Entry: entry, Text: fmt.Sprintf(format, args...),
	})
}

// fail adds an error and warn a warning.
func (r *report) fail(kind, entry, format string, args ...any) {
	r.add(primrosespar.SeverityError, kind, entry, format, args...)
}

func (r *report) warn(kind, entry, format string, args ...any) {
	r.add(primrosespar.SeverityWarning, kind, entry, format, args...)
}

// Inspect returns the errors of the draft, its entries that can never match and
// its limits that contradict each other.
func (i *Inspector) Inspect(draft primrosespar.CatalogDraft) []primrosespar.Finding {
	r := &report{}
	checkNames(r, draft)
	for _, queue := range draft.Queues {
		checkTerms(r, queue)
		checkTimes(r, queue)
		i.checkRegions(r, queueEntry(queue.Queue), queue.Regions)
	}
	checkServices(r, draft)
	checkRoutes(r, draft.Queues)
	checkAccounts(r, draft)
	for _, account := range draft.Accounts {
		i.checkRegions(r, accountEntry(account.Account), account.Regions)
	}
	checkCommonRegions(r, draft)
	checkLimits(r, draft)
	return r.findings
}

func queueEntry(queue primrosespar.Queue) string { return fmt.Sprintf("queue %.100q", queue) }

func accountEntry(account primrosespar.Account) string {
	return fmt.Sprintf("account %.100q", account)
}

func serviceEntry(service primrosespar.Service) string {
	return fmt.Sprintf("service %.100q", service)
}

// checkNames reports names that are missing or doubled.
func checkNames(r *report, draft primrosespar.CatalogDraft) {
	if draft.Version == 0 {
		r.fail("no_version", "version", "The version is missing or 0.")
	}
	var queues, services, accounts []string
	for _, q := range draft.Queues {
		queues = append(queues, string(q.Queue))
	}
	for _, s := range draft.Services {
		services = append(services, string(s))
	}
	for _, a := range draft.Accounts {
		accounts = append(accounts, string(a.Account))
	}
	checkNameList(r, "queue", queues)
	checkNameList(r, "service", services)
	checkNameList(r, "account", accounts)
}

// checkNameList reports names of one sort that are missing or doubled.
func checkNameList(r *report, sort string, names []string) {
	count := map[string]int{}
	for i, name := range names {
		count[name]++
		switch {
		case name == "":
			r.fail("no_name", fmt.Sprintf("%s %d of the list", sort, i+1), "The %s has no name.", sort)
		case count[name] == 2:
			r.fail("doubled_name", fmt.Sprintf("%s %.100q", sort, name), "More than one %s has this name.", sort)
		}
	}
}

// checkTerms reports values of a queue that cannot be used.
func checkTerms(r *report, q primrosespar.QueueTerms) {
	entry := queueEntry(q.Queue)
	unusable := func(format string, args ...any) { r.fail("unusable_value", entry, format, args...) }
	if q.Host == "" {
		unusable("The host is missing.")
	}
	if q.Priority < 0 {
		unusable("The priority %d is negative.", q.Priority)
	}
	if q.Attempts < 1 {
		unusable("The number of attempts is %d; at least 1 is needed.", q.Attempts)
	}
	if q.Slack < 0 {
		unusable("The slack %v is negative.", q.Slack)
	}
	if q.Target < 0 {
		unusable("The target %v is negative.", q.Target)
	}
	if q.Timeout <= 0 {
		unusable("The time limit of a call is %v; it must be above 0.", q.Timeout)
	}
}

// checkTimes reports times of a queue that contradict each other.
func checkTimes(r *report, q primrosespar.QueueTerms) {
	entry := queueEntry(q.Queue)
	if q.Timeout > 0 && q.Timeout < q.Target {
		r.warn("timeout_under_target", entry, "The time limit of a call, %v, is under the target of %v.", q.Timeout, q.Target)
	}
	// With a target of 0, the time of a job is a multiple of its longest chain.
	switch {
	case q.Target != 0 || q.Slack < 0 || q.Attempts < 1:
	case q.Slack < 1:
		r.warn("due_before_done", entry, "Without a target, a slack of %v is less than one run of the longest chain of steps; each job is late.", q.Slack)
	case float64(q.Attempts) > q.Slack:
		r.warn("attempts_do_not_fit", entry, "Without a target, a job of one step that needs %d attempts of full length is late: the slack is %v.", q.Attempts, q.Slack)
	}
}

// checkRegions reports regions to which no place belongs.
func (i *Inspector) checkRegions(r *report, entry string, regions []primrosespar.Region) {
	for _, region := range regions {
		if len(i.regions) > 0 && !slices.Contains(i.regions, region) {
			r.warn("unknown_region", entry, "No place belongs to the region %.100q.", region)
		}
	}
}

// checkServices reports queues whose service is not there.
func checkServices(r *report, draft primrosespar.CatalogDraft) {
	for _, q := range draft.Queues {
		if !slices.Contains(draft.Services, q.Service) {
			r.fail("unknown_service", queueEntry(q.Queue), "The service %.100q does not exist.", q.Service)
		}
	}
}

// checkAccounts reports guarantees and keys that cannot be used.
func checkAccounts(r *report, draft primrosespar.CatalogDraft) {
	holders := map[string]primrosespar.Account{}
	public, keys := false, 0
	for _, q := range draft.Queues {
		public = public || q.Public
	}
	for _, a := range draft.Accounts {
		entry := accountEntry(a.Account)
		if a.Reserved < 0 {
			r.fail("negative_guarantee", entry, "The guarantee of %d accelerators is negative.", a.Reserved)
		}
		usable := 0
		for i, key := range a.Keys {
			holder, found := holders[key]
			switch {
			case key == "":
				r.fail("empty_key", entry, "Key %d is empty; it matches no call.", i+1)
				continue
			case !found:
				holders[key] = a.Account
			case holder != a.Account:
				r.fail("shared_key", entry, "Key %d also belongs to the account %.100q.", i+1, holder)
			default:
				r.warn("doubled_key", entry, "Key %d is listed twice.", i+1)
			}
			usable++
		}
		keys += usable
		if usable == 0 && !public {
			r.warn("account_without_key", entry, "The account has no key and no queue is public, so it can call none.")
		}
	}
	for _, q := range draft.Queues {
		if keys == 0 && !q.Public {
			r.warn("queue_without_caller", queueEntry(q.Queue), "The queue is not public and no account has a key, so nobody can call it.")
		}
	}
}

// checkCommonRegions reports accounts whose jobs in a queue may run nowhere.
func checkCommonRegions(r *report, draft primrosespar.CatalogDraft) {
	for _, q := range draft.Queues {
		if len(q.Regions) == 0 || q.Public {
			continue
		}
		var apart []string
		for _, a := range draft.Accounts {
			allowed := func(region primrosespar.Region) bool { return slices.Contains(q.Regions, region) }
			if len(a.Keys) > 0 && len(a.Regions) > 0 && !slices.ContainsFunc(a.Regions, allowed) {
				apart = append(apart, fmt.Sprintf("%.100q", a.Account))
			}
		}
		if len(apart) > 0 {
			r.warn("no_common_region", queueEntry(q.Queue), "Jobs of %s run nowhere: the regions of the queue and of the account have nothing in common.", strings.Join(apart, ", "))
		}
	}
}

// checkLimits reports limits of calls that cannot be used or contradict each
// other.
func checkLimits(r *report, draft primrosespar.CatalogDraft) {
	const entry = "limits"
	l := draft.Limits
	positive := func(name string, given, ok bool) {
		if given && !ok {
			r.fail("limit_not_positive", entry, "The limit of %s is not above 0.", name)
		}
	}
	positive("the head", l.HeadBytes != nil, l.HeadBytes != nil && *l.HeadBytes > 0)
	positive("the body", l.BodyBytes != nil, l.BodyBytes != nil && *l.BodyBytes > 0)
	positive("the time of the head", l.HeadTimeout != nil, l.HeadTimeout != nil && *l.HeadTimeout > 0)
	positive("the idle time", l.IdleTimeout != nil, l.IdleTimeout != nil && *l.IdleTimeout > 0)
	if l.HeadBytes != nil && *l.HeadBytes > 0 && *l.HeadBytes < usualHeadBytes {
		r.warn("head_limit_low", entry, "The limit of the head, %d bytes, is below that of an ordinary call, %d bytes.", *l.HeadBytes, usualHeadBytes)
	}
	if l.BodyBytes != nil && *l.BodyBytes > 0 && *l.BodyBytes <= draft.LongestSpec {
		r.warn("body_limit_low", entry, "The limit of the body, %d bytes, does not hold a job whose text has the legal %d bytes.", *l.BodyBytes, draft.LongestSpec)
	}
	if l.HeadTimeout != nil && l.IdleTimeout != nil && *l.IdleTimeout > 0 && *l.HeadTimeout > *l.IdleTimeout {
		r.warn("head_timeout_above_idle", entry, "The time for a head, %v, is above the idle time, %v.", *l.HeadTimeout, *l.IdleTimeout)
	}
}
