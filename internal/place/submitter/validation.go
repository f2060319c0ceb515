package submitter

import (
	"strings"

	"primrosespar.example/primrosespar"
)

// applyContract checks the job against its contract and the rate limit, and
// returns it with the fields that the contract determines.
func (s *Submitter) applyContract(job primrosespar.Job) (primrosespar.Job, error) {
	view, _ := s.contracts.View()
	if view.Revision == 0 {
		return job, primrosespar.Fail(primrosespar.CodeStarting, "the contracts have not been read yet")
	}
	if !s.contracts.Current() {
		return job, primrosespar.Fail(primrosespar.CodeRestricted, "the place has no current view of the contracts and accepts no new jobs")
	}
	versioned, ok := view.Find(job.Account)
	if !ok {
		return job, primrosespar.Fail(primrosespar.CodeUnknownAccount, "client account %q has no contract", job.Account)
	}
	terms, ok := versioned.Contract.Terms(job.Class)
	if !ok || terms.Kind != primrosespar.KindGang {
		return job, primrosespar.Fail(primrosespar.CodeUnknownClass, "class %q is not a gang class of client account %q", job.Class, job.Account)
	}
	if err := checkPlace(versioned.Contract, job.Place); err != nil {
		return job, err
	}
	if err := s.checkFields(job); err != nil {
		return job, err
	}
	if err := checkClaim(versioned.Contract, job); err != nil {
		return job, err
	}
	if job.Shape.Accelerators() > versioned.Contract.MaxAccelerators {
		return job, primrosespar.Fail(primrosespar.CodeQuotaExceeded,
			"shape needs %d accelerators, the contract's max_accelerators is %d", job.Shape.Accelerators(), versioned.Contract.MaxAccelerators)
	}
	job.Idempotent = terms.Idempotent
	job.Preemptible = terms.Preemptible && !job.Claim
	if job.Deadline == 0 || job.Deadline > terms.Deadline {
		job.Deadline = terms.Deadline
	}
	job.Submitted = s.clock.Now().UTC()
	job.ContractVersion = versioned.Version
	if err := s.options.Check(job.Shape); err != nil {
		return job, err
	}
	if !s.limiter.allow(versioned.Contract, terms, job.Place) {
		return job, primrosespar.Fail(primrosespar.CodeRateLimited,
			"class %q accepts %g jobs per second in all places and a burst of %d", job.Class, terms.RatePerSecond, terms.Burst)
	}
	return job, nil
}

// checkPlace refuses a place in which the contract has no share.
func checkPlace(c primrosespar.Contract, place primrosespar.Place) error {
	if share, _ := c.ShareIn(place); share > 0 {
		return nil
	}
	var names []string
	for _, p := range c.Places {
		if p.Share > 0 {
			names = append(names, string(p.Place))
		}
	}
	return primrosespar.Fail(primrosespar.CodeWrongPlace,
		"the contract has no share in place %q; it has shares in %s", place, strings.Join(names, ", "))
}

// checkFields refuses values that are out of range for any account.
func (s *Submitter) checkFields(job primrosespar.Job) error {
	shape := job.Shape
	switch {
	case shape.Members < 1 || shape.Members > maxMembers:
		return outOfRange("shape.members", shape.Members, 1, maxMembers)
	case shape.Block < 0 || shape.Block > maxBlock:
		return outOfRange("shape.block", shape.Block, 0, maxBlock)
	case shape.Block&(shape.Block-1) != 0:
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "shape.block is %d, it must be a power of two", shape.Block)
	case shape.Cores < 0 || shape.MemoryBytes < 0:
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "shape.cores and shape.memory_bytes must not be negative")
	case job.Declared < 0 || job.Deadline < 0:
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "declared and deadline must not be negative")
	case len(job.Payload) > s.options.MaxPayload:
		return primrosespar.Fail(primrosespar.CodeBodyTooLarge, "work has %d bytes, the limit is %d", len(job.Payload), s.options.MaxPayload)
	}
	return nil
}

// outOfRange returns the failure for a value that is not between low and high.
func outOfRange(field string, value, low, high int) error {
	return primrosespar.Fail(primrosespar.CodeOutOfRange, "%s is %d, it must be from %d to %d", field, value, low, high)
}

// checkClaim refuses a claim that is larger than the account's guarantees in
// the place.
func checkClaim(c primrosespar.Contract, job primrosespar.Job) error {
	if !job.Claim {
		return nil
	}
	guaranteed := 0
	for _, g := range c.GuaranteesIn(job.Place) {
		guaranteed += g.Block * g.Count
	}
	if job.Shape.Accelerators() > guaranteed {
		return primrosespar.Fail(primrosespar.CodeQuotaExceeded,
			"the claim needs %d accelerators, the guarantee in place %q has %d", job.Shape.Accelerators(), job.Place, guaranteed)
	}
	return nil
}
