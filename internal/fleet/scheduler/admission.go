package scheduler

import "primrosespar.example/primrosespar"

// CheckAdmission returns why a new job is rejected, or nil if it is accepted or
// known.
func (s *Scheduler) CheckAdmission(submission primrosespar.Submission) error {
	if s.jobs[submission.ID] != nil {
		return nil
	}
	terms := submission.Terms
	if s.catalog != nil {
		if current, ok := s.catalog.Terms(submission.Queue); ok {
			terms = current
		}
	}
	return s.admitter.Check(submission, terms.Service)
}
