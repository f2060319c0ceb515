package primrosespar

import "time"

// ContractSource gives the contracts as this host knows them.
type ContractSource interface {
	// View returns the newest known contracts and the age of that knowledge.
	View() (ContractView, time.Duration)
	// Current reports whether the view may be treated as current; a host
	// without a current view serves only the offline terms.
	Current() bool
}
