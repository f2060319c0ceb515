package primrosespar

import "fmt"

// Row keys of the table, in the order of docs/design.md, section 7.

// LeaseKey is the row of the place's scheduling lease.
func LeaseKey(place Place) string { return "lease/" + string(place) }

// ClaimKey is the row of one idempotency key of an account.
func ClaimKey(account Account, key string) string {
	return "claim/" + string(account) + "/" + key
}

// ContractKey is the row of the account's contract.
func ContractKey(account Account) string { return "contract/" + string(account) }

// ContractHeadKey is the row that holds the newest contract revision.
func ContractHeadKey() string { return "contract_head" }

// ContractLogKey is the row of one contract change; the revision is padded so
// that key order is revision order.
func ContractLogKey(revision Revision) string {
	return fmt.Sprintf("contract_log/%020d", revision)
}

// ViewKey is the row in which a place acknowledges a contract revision.
func ViewKey(place Place) string { return "view/" + string(place) }

// GangPrefix starts the keys of all gangs of the place.
func GangPrefix(place Place) string { return "gang/" + string(place) + "/" }

// GangKey is the row of one gang.
func GangKey(place Place, id JobID) string { return GangPrefix(place) + string(id) }

// CancelPrefix starts the keys of cancellation requests of the place.
func CancelPrefix(place Place) string { return "cancel/" + string(place) + "/" }

// CancelKey is the row that asks the holder to cancel a job.
func CancelKey(place Place, id JobID) string { return CancelPrefix(place) + string(id) }

// QuarantineKey is the row of the place's quarantined workers.
func QuarantineKey(place Place) string { return "quarantine/" + string(place) }
