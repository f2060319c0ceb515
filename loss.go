package primrosespar

// LossCause says why work of a run was thrown away.
type LossCause string

// Causes of lost work. The work of a run is lost from its last saved
// checkpoint on.
const (
	// LossPreempted is work that was stopped to make room for urgent work.
	LossPreempted LossCause = "preempted"
	// LossCancelled is work of a job that its caller cancelled.
	LossCancelled LossCause = "cancelled"
	// LossGivenUp is work of a job that was given up because one of its tasks
	// cannot be done.
	LossGivenUp LossCause = "given_up"
	// LossFailed is work of runs that failed.
	LossFailed LossCause = "failed"
	// LossWorkerLeft is work on a worker that had announced that it would leave,
	// LossWorkerCrashed that on a worker that went without notice.
	LossWorkerLeft    LossCause = "worker_left"
	LossWorkerCrashed LossCause = "worker_crashed"
	// LossLeaseExpired is work on a worker that could not be reached until the
	// lease of its runs expired.
	LossLeaseExpired LossCause = "lease_expired"
	// LossGangPartner is work of a gang of which another member ended.
	LossGangPartner LossCause = "gang_partner_ended"
	// LossGangGather is work of a gang whose members did not all start in time,
	// LossGangWaiting the time that members of other gangs waited for the last
	// one.
	LossGangGather  LossCause = "gang_did_not_gather"
	LossGangWaiting LossCause = "gang_waiting"
	// LossStalled is work of runs that made no progress.
	LossStalled LossCause = "stalled"
	// LossAnswerLost is work of a run that ended without the scheduler learning
	// of it in time and was done again.
	LossAnswerLost LossCause = "answer_lost"
	// LossMoved is work that was stopped because its worker was about to be
	// emptied, restarted or taken away.
	LossMoved LossCause = "moved"
	// LossOther is other work that was stopped.
	LossOther LossCause = "other"
)

// LossCauses returns all causes of lost work.
func LossCauses() []LossCause {
	return []LossCause{
		LossPreempted, LossCancelled, LossGivenUp, LossFailed, LossWorkerLeft, LossWorkerCrashed, LossLeaseExpired,
		LossGangPartner, LossGangGather, LossGangWaiting, LossStalled, LossAnswerLost, LossMoved, LossOther,
	}
}

// FleetLoss is the work that was lost for one cause since the host started.
type FleetLoss struct {
	Cause LossCause `json:"cause"`
	Runs  int       `json:"runs"`
	// CoreSeconds counts an accelerator as several cores.
	CoreSeconds float64 `json:"core_seconds"`
}
