package checker

import "primrosespar.example/primrosespar"

// LowersOffline reports whether after takes away something that a place which
// is cut off may still serve under before. Such an amendment waits for the
// acknowledgement of each place.
func LowersOffline(before, after primrosespar.Contract) bool {
	for _, was := range before.Classes {
		if was.Offline == (primrosespar.OfflineTerms{}) {
			continue
		}
		now, _ := after.Terms(was.Class)
		if lowers(was, now) {
			return true
		}
		if leavesPlace(before, after) {
			return true
		}
	}
	return false
}

// leavesPlace reports whether a place of before has no share in after.
func leavesPlace(before, after primrosespar.Contract) bool {
	for _, p := range before.Places {
		if share, _ := after.ShareIn(p.Place); share == 0 {
			return true
		}
	}
	return false
}

// lowers compares the terms of one class. A class that becomes non-idempotent
// counts as lowered, since a place that is cut off would go on repeating it.
func lowers(was, now primrosespar.ClassTerms) bool {
	return now.Offline.RatePerSecond < was.Offline.RatePerSecond ||
		now.Offline.Concurrency < was.Offline.Concurrency ||
		now.Kind != was.Kind ||
		was.Idempotent && !now.Idempotent
}

// Restrict returns the accepted contract with its offline terms lowered to
// those of the pending one, and to zero if a place leaves the contract. A place puts this in force before it acknowledges.
func Restrict(accepted, pending primrosespar.Contract) primrosespar.Contract {
	left := leavesPlace(accepted, pending)
	classes := make([]primrosespar.ClassTerms, len(accepted.Classes))
	for i, was := range accepted.Classes {
		now, _ := pending.Terms(was.Class)
		if left || now.Kind != was.Kind || was.Idempotent && !now.Idempotent {
			now.Offline = primrosespar.OfflineTerms{}
		}
		was.Offline.RatePerSecond = min(was.Offline.RatePerSecond, now.Offline.RatePerSecond)
		was.Offline.Concurrency = min(was.Offline.Concurrency, now.Offline.Concurrency)
		classes[i] = was
	}
	accepted.Classes = classes
	return accepted
}
