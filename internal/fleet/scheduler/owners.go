package scheduler

import "primrosespar.example/primrosespar"

// MayUse reports whether the caller of the request has a right to the job. It
// has none to a job that is not known.
func (s *Scheduler) MayUse(request primrosespar.JobRequest) bool {
	j := s.jobs[request.Job]
	return j != nil && request.MayUse(j.submission.Account, j.submission.Queue)
}

// Owner returns the submission of a job without its content, or false if the job
// is not known or its queue is not, because an earlier release has stored its
// end.
func (s *Scheduler) Owner(id primrosespar.JobID) (primrosespar.Submission, bool) {
	j := s.jobs[id]
	if j == nil || j.submission.Queue == "" {
		return primrosespar.Submission{}, false
	}
	return primrosespar.Submission{ID: id, Queue: j.submission.Queue, Account: j.submission.Account}, true
}
