package bencher

import (
	"slices"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/packer"
)

// Result holds the figures of one run; times are in seconds.
type Result struct {
	Workload       string  `json:"workload"`
	Policy         string  `json:"policy"`
	Seed           uint64  `json:"seed"`
	Jobs           int     `json:"jobs"`
	Completed      int     `json:"completed"`
	Cancelled      int     `json:"cancelled"`
	Refused        int     `json:"refused"`
	MeanCompletion float64 `json:"mean_completion_s"`
	P99Completion  float64 `json:"p99_completion_s"`
	Missed         int     `json:"missed_deadlines"`
	Claims         int     `json:"claims"`
	P99Claim       float64 `json:"p99_claim_s"`
	MaxClaim       float64 `json:"max_claim_s"`
	LateClaims     int     `json:"late_claims"`
	// BeyondGuarantee are claims made while the guarantee was fully claimed;
	// they may wait and are not in the claim figures.
	BeyondGuarantee int     `json:"claims_beyond_guarantee"`
	Fragmentation   float64 `json:"fragmentation"`
	// FragmentationFloor is what the fragmentation would be if the free
	// accelerators held the largest block that their number and the racks
	// allow; a block is a power of two.
	FragmentationFloor float64 `json:"fragmentation_floor"`
	ShapeRefused       float64 `json:"shape_refused_share"`
	// ReclaimShapeRefused is the same share with free and borrowed accelerators
	// together: large requests that their number admits and no blocks hold.
	ReclaimShapeRefused float64 `json:"reclaim_shape_refused_share"`
	LostHours           float64 `json:"lost_accelerator_hours"`
	Utilization         float64 `json:"utilization"`
}

// tally collects the figures of a run.
type tally struct {
	completions, claims    []float64
	missed, late, beyond   int
	cancelled, refused     int
	large, shapeRefused    int
	reclaimLarge           int
	reclaimRefused         int
	lost                   float64
	fragments, used, spent float64
	floor                  float64
	ended                  map[primrosespar.JobID]bool
}

// elapse averages over the time in which jobs arrive.
func (t *tally) elapse(mirror *packer.Packer, d time.Duration, arriving bool) {
	if t.ended == nil {
		t.ended = map[primrosespar.JobID]bool{}
	}
	if !arriving || d <= 0 {
		return
	}
	t.spent += d.Seconds()
	all, free, largest := mirror.Total(), mirror.Count(packer.Free), mirror.Largest()
	t.used += d.Seconds() * float64(all-free) / float64(max(all, 1))
	if free > 0 {
		t.fragments += d.Seconds() * (1 - float64(largest)/float64(free))
		t.floor += d.Seconds() * (1 - float64(whole(free))/float64(free))
	}
}

func (t *tally) complete(task Task, now time.Time) {
	t.ended[task.Job.ID] = true
	took := now.Sub(task.At)
	t.completions = append(t.completions, took.Seconds())
	if took > task.Job.Deadline {
		t.missed++
	}
}

func (t *tally) claim(took time.Duration) {
	t.claims = append(t.claims, took.Seconds())
	if took > lateClaim {
		t.late++
	}
}

func (t *tally) lose(run time.Duration, size int) {
	t.lost += run.Hours() * float64(size)
}

func (t *tally) result(load Workload, policy Policy, jobs int) Result {
	r := Result{
		Workload: load.Name, Policy: policy.Name, Seed: load.Seed, Jobs: jobs, Completed: len(t.completions),
		Cancelled: t.cancelled, Refused: t.refused, Missed: t.missed, Claims: len(t.claims), LateClaims: t.late, BeyondGuarantee: t.beyond,
		P99Completion: quantile(t.completions, 0.99), P99Claim: quantile(t.claims, 0.99), MaxClaim: quantile(t.claims, 1),
		LostHours: t.lost,
	}
	for _, c := range t.completions {
		r.MeanCompletion += c / float64(len(t.completions))
	}
	if t.spent > 0 {
		r.Fragmentation, r.Utilization = t.fragments/t.spent, t.used/t.spent
		r.FragmentationFloor = t.floor / t.spent
	}
	if t.large > 0 {
		r.ShapeRefused = float64(t.shapeRefused) / float64(t.large)
	}
	if t.reclaimLarge > 0 {
		r.ReclaimShapeRefused = float64(t.reclaimRefused) / float64(t.reclaimLarge)
	}
	return r
}

// whole is the largest block within n accelerators of the longest rack.
func whole(n int) int {
	block := 1
	for block*2 <= min(n, perRack*perWorker) {
		block *= 2
	}
	return block
}

func quantile(samples []float64, q float64) float64 {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
