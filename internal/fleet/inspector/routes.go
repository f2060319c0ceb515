package inspector

import (
	"math"
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
)

// Job IDs that follow the prefix of a queue have idLength hexadecimal digits.
const (
	idLength  = 16
	hexDigits = "0123456789abcdefABCDEF"
	hexBase   = 16
)

// checkRoutes reports queues that no call reaches, or that lose some jobs to
// another queue.
func checkRoutes(r *report, queues []primrosespar.QueueTerms) {
	for i, q := range queues {
		entry := queueEntry(q.Queue)
		if strings.Contains(q.Host, ":") {
			r.warn("route_unreachable", entry, "The host %.100q names a port, which is not compared, so no call matches.", q.Host)
		}
		if q.PathPrefix != "" && !strings.HasPrefix(q.PathPrefix, "/") || strings.ContainsAny(q.PathPrefix, "?#") {
			r.warn("route_unreachable", entry, "No path begins with the prefix %.100q.", q.PathPrefix)
		}
		same := func(other primrosespar.QueueTerms) bool {
			return other.Host == q.Host && other.PathPrefix == q.PathPrefix
		}
		if first := slices.IndexFunc(queues, same); first < i {
			r.fail("doubled_route", entry, "The queue %.100q has the same host and prefix and comes first.", queues[first].Queue)
		}
		checkLongerPrefixes(r, q, queues)
	}
}

// checkLongerPrefixes reports a queue for which some or all job IDs complete the
// longer prefix of another queue.
func checkLongerPrefixes(r *report, q primrosespar.QueueTerms, queues []primrosespar.QueueTerms) {
	var rests []string
	var takers []string
	for _, other := range queues {
		rest, longer := strings.CutPrefix(other.PathPrefix, q.PathPrefix)
		if !longer || rest == "" || other.Host != q.Host || len(rest) > idLength || strings.Trim(rest, hexDigits) != "" {
			continue
		}
		rests = append(rests, strings.ToLower(rest))
		takers = append(takers, queueEntry(other.Queue))
	}
	slices.Sort(rests)
	share, last := 0.0, ""
	for _, rest := range rests {
		if last != "" && strings.HasPrefix(rest, last) {
			continue
		}
		last = rest
		share += math.Pow(hexBase, -float64(len(rest)))
	}
	switch {
	case share >= 1:
		r.warn("route_unreachable", queueEntry(q.Queue), "Each job ID after the prefix %.100q belongs to a longer prefix: %s.", q.PathPrefix, strings.Join(takers, ", "))
	case share > 0:
		r.warn("route_shadowed", queueEntry(q.Queue), "Some job IDs after the prefix %.100q belong to a longer prefix: %s.", q.PathPrefix, strings.Join(takers, ", "))
	}
}
