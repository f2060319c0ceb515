package primrosespar

import "fmt"

// The functions below return the row keys of the table, in the order of
// section 7 of docs/design.md.

// LeaseKey returns the key of the row of the place's scheduling lease.
func LeaseKey(place Place) string { return "lease/" + string(place) }

// LeaseRenewalKey returns the key of the row whose version increases with each
// renewal of the place's scheduling lease. It is separate from the lease row
// because the holder's commits have the lease row as a condition, so that a
// renewal of that row would make them fail.
func LeaseRenewalKey(place Place) string { return "beat/" + string(place) }

// ClaimKey returns the key of the row of one idempotency key of an account.
func ClaimKey(account Account, key string) string {
	return "claim/" + string(account) + "/" + key
}

// ContractKey returns the key of the row of the account's contract.
func ContractKey(account Account) string { return "contract/" + string(account) }

// ContractHeadKey returns the key of the row that holds the newest contract
// revision.
func ContractHeadKey() string { return "contract_head" }

// ContractLogKey returns the key of the row of one contract change. The
// revision is zero-padded so that the keys sort by revision.
func ContractLogKey(revision Revision) string {
	return fmt.Sprintf("contract_log/%020d", revision)
}

// AcknowledgementKey returns the key of the row in which a place acknowledges a
// contract revision.
func AcknowledgementKey(place Place) string { return "view/" + string(place) }

// GangPrefix returns the prefix of the keys of all gangs of the place.
func GangPrefix(place Place) string { return "gang/" + string(place) + "/" }

// GangKey returns the key of the row of one gang.
func GangKey(place Place, id JobID) string { return GangPrefix(place) + string(id) }

// InboxPrefix returns the prefix of the keys of the messages to the holder of
// the place lease. The holder deletes the messages that it has processed, which
// keeps scans short.
func InboxPrefix(place Place) string { return "inbox/" + string(place) + "/" }

// InboxSubmitKey returns the key of the message that a job row was created.
func InboxSubmitKey(place Place, id JobID) string {
	return InboxPrefix(place) + string(id) + "/submit"
}

// InboxCancelKey returns the key of the message that a job should be cancelled.
func InboxCancelKey(place Place, id JobID) string {
	return InboxPrefix(place) + string(id) + "/cancel"
}

// QuarantineKey returns the key of the row of the place's quarantined workers.
func QuarantineKey(place Place) string { return "quarantine/" + string(place) }

// FleetLeaseKey returns the key of the row of the lease for scheduling the
// whole fleet. Each commit of its holder writes the row.
func FleetLeaseKey() string { return "fleet_lease/holder" }

// SubmissionPrefix returns the prefix of the keys of the submitted jobs.
func SubmissionPrefix() string { return "submission/" }

// SubmissionKey returns the key of the row of a submitted job as its caller
// submitted it.
func SubmissionKey(id JobID) string { return SubmissionPrefix() + string(id) }

// ProgressPrefix returns the prefix of the keys of the progress of submitted
// jobs.
func ProgressPrefix() string { return "progress/" }

// ProgressKey returns the key of the row of the progress of a submitted job.
func ProgressKey(id JobID) string { return ProgressPrefix() + string(id) }

// ProgressPieceKey returns the key of the row of a piece of the progress of a
// submitted job.
func ProgressPieceKey(id JobID, piece string) string { return ProgressKey(id) + "/" + piece }

// FleetInboxPrefix returns the prefix of the keys of the messages to the holder
// of the fleet lease from hosts that cannot reach it.
func FleetInboxPrefix() string { return "fleet_mail/" }

// FleetInboxSubmitKey returns the key of the message that a job was accepted.
func FleetInboxSubmitKey(id JobID) string { return FleetInboxPrefix() + "submit-" + string(id) }

// FleetInboxCancelKey returns the key of the message that a job should be
// cancelled.
func FleetInboxCancelKey(id JobID) string { return FleetInboxPrefix() + "cancel-" + string(id) }

// EvacuationPrefix returns the prefix of the keys of the evacuations that were
// requested with the product's own command.
func EvacuationPrefix() string { return "fleet_evacuation/" }

// EvacuationKey returns the key of the row of the evacuation of a place.
func EvacuationKey(place Place) string { return EvacuationPrefix() + string(place) }

// WavePrefix returns the prefix of the keys of the maintenance waves.
func WavePrefix() string { return "fleet_upkeep/" }

// WaveKey returns the key of the row of the progress of one maintenance wave.
func WaveKey(wave int) string { return fmt.Sprintf("%s%020d", WavePrefix(), wave) }
