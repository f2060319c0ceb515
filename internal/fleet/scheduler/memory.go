package scheduler

import "primrosespar.example/primrosespar"

// HasRoom reports whether the job is known or there is memory for it beside the
// live jobs.
func (s *Scheduler) HasRoom(submission primrosespar.Submission) bool {
	return s.jobs[submission.ID] != nil || s.usedMemory()+submission.Memory() <= s.opts.JobMemory
}

// usedMemory returns the estimated memory of the live jobs.
func (s *Scheduler) usedMemory() int64 {
	var used int64
	for _, j := range s.liveJobs {
		used += j.memory * int64(max(1, len(j.occurrences)))
	}
	return used
}

// mayCreateOccurrence reports whether the job may have another live occurrence.
// It may always have one.
func (s *Scheduler) mayCreateOccurrence(j *job) bool {
	if len(j.occurrences) == 0 {
		return true
	}
	if len(j.occurrences) < maxLiveOccurrences && s.usedMemory()+j.memory <= s.opts.JobMemory {
		return true
	}
	if !j.delayed {
		j.delayed = true
		s.logEvent("occurrence_delayed", j, nil, 0, "too many occurrences of the job have not ended")
	}
	return false
}

// releaseEnded drops the occurrences of a large job that has ended and has no
// runs. It is known for a while yet.
func (j *job) releaseEnded() {
	if j.split && !j.dirty && j.state.Ended() && j.memberCount == 0 {
		j.occurrences = nil
	}
}
