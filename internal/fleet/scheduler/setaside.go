package scheduler

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// Reject forgets a job whose record the store refuses for good and whose caller
// was not told that it is accepted. None of its starts was sent.
func (s *Scheduler) Reject(id primrosespar.JobID, reason string) {
	if j := s.jobs[id]; j != nil {
		s.remove(j)
		s.logEvent("job_set_aside", j, nil, 0, "not accepted: "+reason)
	}
}

// SetAside ends an accepted job whose record the store refuses for good. It
// fails unless it has ended, and its next record holds nothing but that. It
// returns false if the job is not known or already set aside.
func (s *Scheduler) SetAside(id primrosespar.JobID, reason string, now time.Time) bool {
	j := s.jobs[id]
	if j == nil || j.setAside {
		return false
	}
	j.setAside = true
	s.logEvent("job_set_aside", j, nil, 0, reason)
	if !j.state.Ended() {
		s.endJob(j, primrosespar.JobFailed, now)
	}
	s.markDirty(j)
	return true
}

// RestoreUnreadable adds a stored job of an earlier holder whose rows cannot be
// decoded. It is known, so that it is not submitted anew, and may be cancelled,
// but it is not scheduled and its rows stay as they are.
func (s *Scheduler) RestoreUnreadable(submission primrosespar.Submission, state primrosespar.JobState, reason string, now time.Time) {
	j := &job{submission: submission, state: state, arrived: s.opts.WallClock(now), arrivedMonotonic: now, setAside: true}
	if state.Ended() {
		j.endedAt = now
	}
	s.jobs[submission.ID] = j
	s.logEvent("job_set_aside", j, nil, 0, reason)
}

// remove forgets a job of which no start was sent.
func (s *Scheduler) remove(j *job) {
	for _, u := range j.units() {
		s.dropClaim(u)
		for _, m := range slices.Clone(u.members) {
			s.detach(m)
		}
	}
	delete(s.jobs, j.submission.ID)
	s.liveJobs = slices.DeleteFunc(s.liveJobs, func(other *job) bool { return other == j })
	s.dirtyJobs = slices.DeleteFunc(s.dirtyJobs, func(other *job) bool { return other == j })
}
