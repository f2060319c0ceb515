package checker

import "primrosespar.example/primrosespar"

// LowersOffline reports whether after takes away something that a place which
// is cut off may still serve under before. Such an amendment waits for the
// acknowledgement of each place.
func LowersOffline(before, after primrosespar.Contract) bool {
	for _, old := range before.Classes {
		if old.Offline == (primrosespar.OfflineTerms{}) {
			continue
		}
		updated, _ := after.Terms(old.Class)
		if lowersClass(old, updated) {
			return true
		}
		if removesPlace(before, after) {
			return true
		}
	}
	return false
}

// removesPlace reports whether a place of before has no share in after.
func removesPlace(before, after primrosespar.Contract) bool {
	for _, p := range before.Places {
		if share, _ := after.ShareIn(p.Place); share == 0 {
			return true
		}
	}
	return false
}

// lowersClass compares the terms of one class. A class that becomes non-idempotent
// counts as lowered, since a place that is cut off would go on repeating it.
func lowersClass(old, updated primrosespar.ClassTerms) bool {
	return updated.Offline.RatePerSecond < old.Offline.RatePerSecond ||
		updated.Offline.Concurrency < old.Offline.Concurrency ||
		updated.Kind != old.Kind ||
		old.Idempotent && !updated.Idempotent
}

// Restrict returns the accepted contract with its offline terms lowered to
// those of the pending one, and to zero if a place leaves the contract. A place puts this in force before it acknowledges.
func Restrict(accepted, pending primrosespar.Contract) primrosespar.Contract {
	placeRemoved := removesPlace(accepted, pending)
	classes := make([]primrosespar.ClassTerms, len(accepted.Classes))
	for i, class := range accepted.Classes {
		update, _ := pending.Terms(class.Class)
		if placeRemoved || update.Kind != class.Kind || class.Idempotent && !update.Idempotent {
			update.Offline = primrosespar.OfflineTerms{}
		}
		class.Offline.RatePerSecond = min(class.Offline.RatePerSecond, update.Offline.RatePerSecond)
		class.Offline.Concurrency = min(class.Offline.Concurrency, update.Offline.Concurrency)
		classes[i] = class
	}
	accepted.Classes = classes
	return accepted
}
