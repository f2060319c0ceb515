package checker

import "primrosespar.example/primrosespar"

// LowersOffline reports whether after forbids something that the offline terms
// of before allow. A place that cannot reach the table would go on serving it,
// so such an amendment has to wait until each place has acknowledged it.
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

// removesPlace reports whether a place that has a share in before has none in
// after.
func removesPlace(before, after primrosespar.Contract) bool {
	for _, p := range before.Places {
		if share, _ := after.ShareIn(p.Place); share == 0 {
			return true
		}
	}
	return false
}

// lowersClass reports whether updated lowers the offline terms of one class. A
// class that becomes non-idempotent counts as lowered, because a place that
// cannot reach the table would go on repeating its requests.
func lowersClass(old, updated primrosespar.ClassTerms) bool {
	return updated.Offline.RatePerSecond < old.Offline.RatePerSecond ||
		updated.Offline.Concurrency < old.Offline.Concurrency ||
		updated.Kind != old.Kind ||
		old.Idempotent && !updated.Idempotent
}

// Restrict returns the accepted contract with its offline terms lowered to
// those of the pending contract, or to zero if the pending contract removes a
// place. A place enforces the result before it acknowledges the pending
// contract.
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
