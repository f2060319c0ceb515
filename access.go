package primrosespar

// JobRequest asks for a job by its ID, on behalf of a caller.
type JobRequest struct {
	Job JobID `json:"job"`
	// Account and Queue are those of the call. Public is set if callers of the
	// queue need no key. A host of an earlier release sends no queue; its
	// requests are not checked.
	Account Account `json:"account,omitempty"`
	Queue   Queue   `json:"queue,omitempty"`
	Public  bool    `json:"public,omitempty"`
}

// MayUse reports whether the caller has a right to a job of the account and the
// queue. A job that was submitted without a key has no account, and everyone
// who may call its queue has a right to it. An ended job of an earlier release
// has no queue and is not checked.
func (r JobRequest) MayUse(account Account, queue Queue) bool {
	if r.Queue == "" || queue == "" {
		return true
	}
	return r.Queue == queue && (r.Public || account == "" || r.Account == account)
}

// Request returns the request of the submission's caller for its job.
func (s Submission) Request() JobRequest {
	return JobRequest{Job: s.ID, Account: s.Account, Queue: s.Queue, Public: s.Terms.Public}
}
