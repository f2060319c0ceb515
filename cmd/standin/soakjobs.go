package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"primrosespar.example/primrosespar/platform/standin"
)

// Limits of the jobs that a soak draws.
const (
	// A repeated job is due within maxSoakStartDelay, and again after
	// soakRepeatInterval.
	maxSoakStartDelay  = 2 * time.Second
	soakRepeatInterval = 1100 * time.Millisecond
	// The first large job of a soak has firstLargeJob tasks, later ones up to
	// maxLargeJob, with up to maxLargeStep tasks a step.
	minLargeJob   = 100
	firstLargeJob = 4000
	maxLargeJob   = 10_000
	maxLargeStep  = 4000
	// Some tasks last for longer than another host needs to take them over, where
	// regions are cut off.
	minLastingWork = 10 * time.Second
	maxLastingWork = 20 * time.Second
	// The first long task of a soak takes maxLongWork, later ones between
	// minLongWork and that.
	minLongWork = 100 * time.Millisecond
	maxLongWork = 5 * time.Minute
)

// How often demanding jobs come: one of as many jobs.
const (
	largeJobInterval   = 40
	lastingJobInterval = 12
	longJobInterval    = 10
	refusedJobInterval = 40
	commitJobInterval  = 20
	endsJobInterval    = 50
)

// Tasks of a job whose tasks all end at once.
const (
	endsJobTasks = 4000
	endsJobWork  = 2500 * time.Millisecond
)

// soakJob is one job as its caller sees it.
type soakJob struct {
	standin.Job
	kind jobKind
	// acceptedAt is when a host answered 200, or zero. refusals counts the
	// answers that refused it. unknown is set if a call left it open whether the
	// job was accepted.
	acceptedAt time.Time
	refusals   int
	unknown    bool
	// cancelled is set once the caller has requested the cancellation, whether
	// or not it was acknowledged.
	cancelled bool
	// state is the last state that a host reported.
	state string
}

// jobKind is what a job demands.
type jobKind int

// Kinds of jobs.
const (
	plainJob jobKind = iota
	// deadlyJob has a task that crashes each worker that starts it.
	deadlyJob
	largeJob
	longJob
	// refusedJob is one whose rows the store refuses from its acceptance on.
	refusedJob
	// killJob is one at whose commits the lease holder is killed.
	killJob
	// endsJob is one whose tasks all end at once, beside a fault.
	endsJob
)

// ended reports whether the last state of the job is a final one.
func (j *soakJob) ended() bool {
	return j.state == "completed" || j.state == "failed" || j.state == "cancelled"
}

// jobDrawer draws the jobs of a soak.
type jobDrawer struct {
	random   *rand.Rand
	troubles troubleSet
	// racks are the racks of the workers, each as often as it has workers.
	racks []string
	// drawn counts the jobs of each kind.
	drawn map[jobKind]int
	count int
}

// next draws a job.
func (d *jobDrawer) next() *soakJob {
	d.count++
	j := &soakJob{Job: standin.Job{ID: fmt.Sprintf("%016x", d.random.Uint64()), Prefix: standin.PlainPrefix}}
	if d.random.IntN(2) == 0 {
		j.Prefix = standin.UrgentPrefix
	}
	j.kind = d.drawKind(j.ID)
	d.drawn[j.kind]++
	switch j.kind {
	case largeJob:
		d.makeLarge(j)
	case longJob:
		d.makeLong(j)
	case endsJob:
		j.Steps = []standin.Step{{Count: endsJobTasks, Millicores: 50, MemoryMiB: 64, EstimateMS: endsJobWork.Milliseconds()}}
		j.Spec = fmt.Sprintf("ms=%d", endsJobWork.Milliseconds())
	default:
		d.makePlain(j)
	}
	return j
}

// drawKind draws the kind of a job. Kinds that are left out are drawn all the
// same and become plain, so that the other jobs of a seed stay as they are.
func (d *jobDrawer) drawKind(id string) jobKind {
	kind := plainJob
	for _, k := range []struct {
		kind     jobKind
		interval int
		trouble  trouble
	}{
		{largeJob, largeJobInterval, troubleLarge},
		{longJob, longJobInterval, troubleLong},
		{refusedJob, refusedJobInterval, troubleRefuse},
		{killJob, commitJobInterval, troubleCommit},
	} {
		// The first of each kind comes early, so that short soaks have it.
		draws := d.random.IntN(k.interval) == 0 || d.count == k.interval/4+int(k.kind)
		if draws && kind == plainJob && d.troubles[k.trouble] {
			kind = k.kind
		}
	}
	switch {
	case strings.HasPrefix(id, "0"):
		return deadlyJob
	case d.count%endsJobInterval == endsJobInterval/4 && d.troubles[troubleEnds]:
		return endsJob
	}
	return kind
}

// makePlain draws a small job, which may be a gang, have a second step, fail or
// be repeated.
func (d *jobDrawer) makePlain(j *soakJob) {
	step := standin.Step{
		Count: 1 + d.random.IntN(4), GPUs: 1 << d.random.IntN(4), Gang: d.random.IntN(2) == 0,
		Millicores: 4000, MemoryMiB: 1000, EstimateMS: 1500,
	}
	if rack := d.racks[d.random.IntN(len(d.racks))]; d.random.IntN(2) == 0 {
		step.DataRack = rack
	}
	j.Steps = []standin.Step{step}
	if d.random.IntN(4) == 0 {
		j.Steps = append(j.Steps, standin.Step{Count: 1, Millicores: 1000, MemoryMiB: 100, EstimateMS: 500, After: []int{0}})
	}
	work := time.Duration(200+d.random.IntN(2500)) * time.Millisecond
	lastingWork, lasts := drawTime(d.random, minLastingWork, maxLastingWork), d.random.IntN(lastingJobInterval) == 0
	fails, repeats := d.random.IntN(12) == 0, d.random.IntN(6) == 0
	startDelay := time.Duration(d.random.Float64() * float64(maxSoakStartDelay))
	if lasts && !fails && d.troubles.cut() {
		work, j.Steps = lastingWork, j.Steps[:1]
		j.Steps[0].GPUs = 1
	}
	j.Spec = fmt.Sprintf("ms=%d", work.Milliseconds())
	switch {
	case j.kind == deadlyJob:
		step.Count, step.Gang = 1, false
		j.Spec, j.Steps = "end=crash", []standin.Step{step}
		return
	case j.kind != plainJob:
		return
	case fails:
		j.Spec += " end=failed"
	}
	if repeats {
		j.RepeatCount, j.IntervalMS = 2, soakRepeatInterval.Milliseconds()
		j.StartAtMS = time.Now().Add(startDelay).UnixMilli()
	}
}

// makeLarge draws a job of many small tasks.
func (d *jobDrawer) makeLarge(j *soakJob) {
	tasks := int(drawLogarithmic(d.random, minLargeJob, maxLargeJob))
	if d.drawn[largeJob] == 1 {
		tasks = firstLargeJob
	}
	for ; tasks > 0; tasks -= maxLargeStep {
		j.Steps = append(j.Steps, standin.Step{Count: min(tasks, maxLargeStep), Millicores: 50, MemoryMiB: 64, EstimateMS: 2000})
	}
	j.Spec = fmt.Sprintf("ms=%d", 100+d.random.IntN(2000))
}

// makeLong draws a job whose tasks may take long.
func (d *jobDrawer) makeLong(j *soakJob) {
	work := time.Duration(drawLogarithmic(d.random, float64(minLongWork), float64(maxLongWork)))
	if d.drawn[longJob] == 1 {
		work = maxLongWork
	}
	j.Steps = []standin.Step{{Count: 1 + d.random.IntN(3), Millicores: 1000, MemoryMiB: 64, EstimateMS: work.Milliseconds()}}
	j.Spec = fmt.Sprintf("ms=%d", work.Milliseconds())
}

// drawLogarithmic draws a value between two, each order of magnitude as often
// as any other.
func drawLogarithmic(random *rand.Rand, smallest, largest float64) float64 {
	return smallest * math.Exp(random.Float64()*math.Log(largest/smallest))
}
