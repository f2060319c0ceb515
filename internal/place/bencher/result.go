package bencher

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// Result holds the measurements of one run; times are in seconds.
type Result struct {
	Workload        string  `json:"workload"`
	Policy          string  `json:"policy"`
	Seed            uint64  `json:"seed"`
	Jobs            int     `json:"jobs"`
	Completed       int     `json:"completed"`
	Cancelled       int     `json:"cancelled"`
	Refused         int     `json:"refused"`
	MeanCompletion  float64 `json:"mean_completion_s"`
	P99Completion   float64 `json:"p99_completion_s"`
	MissedDeadlines int     `json:"missed_deadlines"`
	Claims          int     `json:"claims"`
	P99Claim        float64 `json:"p99_claim_s"`
	MaxClaim        float64 `json:"max_claim_s"`
	LateClaims      int     `json:"late_claims"`
	// BeyondGuarantee counts the claims that arrived while the account's whole
	// guarantee was in use. They may wait and are not in the other claim
	// figures.
	BeyondGuarantee int     `json:"claims_beyond_guarantee"`
	Fragmentation   float64 `json:"fragmentation"`
	// FragmentationFloor is the lowest possible fragmentation: that of free
	// accelerators with the largest block that their number and the size of a
	// rack allow. A block is a power of two.
	FragmentationFloor float64 `json:"fragmentation_floor"`
	// ShapeRefusedShare is the share of large jobs that found enough free
	// accelerators but no free blocks of their shape.
	ShapeRefusedShare float64 `json:"shape_refused_share"`
	// ReclaimShapeRefusedShare is the same share with free and borrowed
	// accelerators taken together.
	ReclaimShapeRefusedShare float64 `json:"reclaim_shape_refused_share"`
	LostAcceleratorHours     float64 `json:"lost_accelerator_hours"`
	Utilization              float64 `json:"utilization"`
}

// stats collects the measurements of a run.
type stats struct {
	completions, claims                          []float64
	missedDeadlines, lateClaims, beyondGuarantee int
	cancelled, refused                           int
	largeJobs, shapeRefused                      int
	reclaimLargeJobs                             int
	reclaimShapeRefused                          int
	lostHours                                    float64
	// fragmentation, utilization and fragmentationFloor are weighted with time;
	// seconds is the sum of the weights.
	fragmentation, utilization, seconds float64
	fragmentationFloor                  float64
	ended                               map[primrosespar.JobID]bool
}

// addInterval adds an interval in which the occupancy did not change. Intervals
// after the arrival period are not counted.
func (s *stats) addInterval(occupancy *packer.Packer, d time.Duration, arriving bool) {
	if s.ended == nil {
		s.ended = map[primrosespar.JobID]bool{}
	}
	if !arriving || d <= 0 {
		return
	}
	s.seconds += d.Seconds()
	total, free, largest := occupancy.Total(), occupancy.Count(packer.Free), occupancy.Largest()
	s.utilization += d.Seconds() * float64(total-free) / float64(max(total, 1))
	if free > 0 {
		s.fragmentation += d.Seconds() * (1 - float64(largest)/float64(free))
		s.fragmentationFloor += d.Seconds() * (1 - float64(largestPossibleBlock(free))/float64(free))
	}
}

// addCompletion adds a completed job.
func (s *stats) addCompletion(job SimulatedJob, now time.Time) {
	s.ended[job.Job.ID] = true
	took := now.Sub(job.Arrival)
	s.completions = append(s.completions, took.Seconds())
	if took > job.Job.Deadline {
		s.missedDeadlines++
	}
}

// addClaim adds a claim that took the given time to start.
func (s *stats) addClaim(took time.Duration) {
	s.claims = append(s.claims, took.Seconds())
	if took > maxClaimTime {
		s.lateClaims++
	}
}

// addLostWork adds the run time that a preemption lost on size accelerators.
func (s *stats) addLostWork(work time.Duration, size int) {
	s.lostHours += work.Hours() * float64(size)
}

// result computes the results of the run.
func (s *stats) result(workload Workload, policy Policy, jobs int) Result {
	r := Result{
		Workload: workload.Name, Policy: policy.Name, Seed: workload.Seed, Jobs: jobs, Completed: len(s.completions),
		Cancelled: s.cancelled, Refused: s.refused, MissedDeadlines: s.missedDeadlines, Claims: len(s.claims), LateClaims: s.lateClaims, BeyondGuarantee: s.beyondGuarantee,
		P99Completion: quantile(s.completions, 0.99), P99Claim: quantile(s.claims, 0.99), MaxClaim: quantile(s.claims, 1),
		LostAcceleratorHours: s.lostHours,
	}
	for _, c := range s.completions {
		r.MeanCompletion += c / float64(len(s.completions))
	}
	if s.seconds > 0 {
		r.Fragmentation, r.Utilization = s.fragmentation/s.seconds, s.utilization/s.seconds
		r.FragmentationFloor = s.fragmentationFloor / s.seconds
	}
	if s.largeJobs > 0 {
		r.ShapeRefusedShare = float64(s.shapeRefused) / float64(s.largeJobs)
	}
	if s.reclaimLargeJobs > 0 {
		r.ReclaimShapeRefusedShare = float64(s.reclaimShapeRefused) / float64(s.reclaimLargeJobs)
	}
	return r
}

// largestPossibleBlock returns the size of the largest block that n free
// accelerators and a full rack allow.
func largestPossibleBlock(n int) int {
	block := 1
	for block*2 <= min(n, workersPerRack*acceleratorsPerWorker) {
		block *= 2
	}
	return block
}

// quantile returns the q-quantile of the samples, 0 without samples.
func quantile(samples []float64, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
