package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/server"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// Limits that the product guarantees.
const (
	// maxPartialTime is how long a gang may run without all of its members.
	maxPartialTime = 15 * time.Second
	// maxClaimDelay is the time from the submission of a claim to its start.
	maxClaimDelay = 9300 * time.Millisecond
)

// demoCommand runs both example deployments under faults and counts the
// outcomes.
type demoCommand struct {
	Examples string        `help:"Folder of the example deployments." default:"examples" type:"path"`
	Program  string        `help:"The primrosespar binary." default:"bin/primrosespar" type:"path"`
	Hosts    int           `help:"Entry hosts per place." default:"3"`
	Load     time.Duration `help:"Time that callers send requests." default:"20s"`
	Keep     string        `help:"Keep logs and settings in this folder." type:"path"`
	Each     bool          `help:"Print each request with what it got and why, beside the sums."`
}

// totals is the JSON line of a demonstration. The runs and gangs in it are
// those that the stand-ins counted.
type totals struct {
	Requests       int `json:"requests"`
	Answered       int `json:"answered"`
	RefusedNotRun  int `json:"refused_not_run"`
	OutcomeUnknown int `json:"outcome_unknown"`
	Lost           int `json:"lost"`
	RanTwice       int `json:"ran_twice"`
	WrongAnswers   int `json:"wrong_answers"`
	FalseRefusals  int `json:"false_refusals"`
	GangsStarted   int `json:"gangs_started"`
	GangsPartial   int `json:"gangs_partial"`
	Claims         int `json:"claims"`
	ClaimsLate     int `json:"claims_late"`
}

// add adds the totals of another deployment.
func (t *totals) add(o totals) {
	t.Requests += o.Requests
	t.Answered += o.Answered
	t.RefusedNotRun += o.RefusedNotRun
	t.OutcomeUnknown += o.OutcomeUnknown
	t.Lost += o.Lost
	t.RanTwice += o.RanTwice
	t.WrongAnswers += o.WrongAnswers
	t.FalseRefusals += o.FalseRefusals
	t.GangsStarted += o.GangsStarted
	t.GangsPartial += o.GangsPartial
	t.Claims += o.Claims
	t.ClaimsLate += o.ClaimsLate
}

// hasViolation reports whether the product broke a guarantee. Late claims do
// not count as a violation.
func (t totals) hasViolation() bool {
	return t.Lost+t.RanTwice+t.GangsPartial+t.WrongAnswers+t.FalseRefusals > 0
}

// scenario names the classes, the place and the accounts of an example
// deployment that its load uses.
type scenario struct {
	name string
	// idempotent and nonIdempotent are request classes, gang is a gang class.
	idempotent, nonIdempotent, gang primrosespar.Class
	// place is where owner claims back its guaranteed rack, which borrower has
	// filled.
	place           primrosespar.Place
	owner, borrower primrosespar.Account
}

// scenarios returns the scenarios of both example deployments.
func scenarios() []scenario {
	return []scenario{
		{"bascule", "eligibility", "recomputation", "reconciliation", "tn-charguia", "medina-energie", "sahel-courant"},
		{"coop", "confirmation", "booking", "allotment", "burnie-a", "derwent-haulage", "tamar-freight"},
	}
}

// Run runs both deployments at the same time and prints the totals.
func (c *demoCommand) Run() error {
	dir, err := c.workDir()
	if err != nil {
		return err
	}
	if c.Keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	processes := &processGroup{dir: dir}
	defer processes.stop(10 * time.Second)
	executable, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find own executable")
	}
	var sum totals
	var failures []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, sc := range scenarios() {
		wg.Go(func() {
			d := &deployment{name: sc.name, examplesDir: filepath.Join(c.Examples, sc.name), programPath: c.Program, standinPath: executable, processes: processes}
			result, err := c.runScenario(context.Background(), d, sc)
			mu.Lock()
			defer mu.Unlock()
			sum.add(result)
			if err != nil {
				failures = append(failures, eris.Wrap(err, sc.name))
			}
		})
	}
	wg.Wait()
	if err := printJSONLine(sum); err != nil {
		return err
	}
	if sum.hasViolation() {
		failures = append(failures, errors.New("a guarantee was violated"))
	}
	return errors.Join(failures...)
}

// workDir creates the directory for logs and settings: the one to keep, or a
// temporary one.
func (c *demoCommand) workDir() (string, error) {
	if c.Keep != "" {
		return c.Keep, eris.Wrap(os.MkdirAll(c.Keep, 0o755), "create work directory")
	}
	dir, err := os.MkdirTemp("", "primrosespar-demo-")
	return dir, eris.Wrap(err, "create work directory")
}

// runScenario starts the deployment, runs load, jobs and faults in it at the
// same time and returns the totals.
func (c *demoCommand) runScenario(ctx context.Context, d *deployment, sc scenario) (totals, error) {
	if err := d.start(ctx, c.Hosts); err != nil {
		return totals{}, err
	}
	accounts, err := d.applyContracts(ctx)
	if err != nil {
		return totals{}, err
	}
	if err := d.awaitContracts(ctx); err != nil {
		return totals{}, err
	}
	logf(sc.name, "%d hosts in %d places have loaded the contracts of %d client accounts", len(d.hosts), len(d.settings.Places), len(accounts))
	load := newDemoLoad(d)
	load.logEach = c.Each
	var wg sync.WaitGroup
	loadCtx, cancel := context.WithTimeout(ctx, c.Load)
	defer cancel()
	wg.Go(func() { load.sendAll(loadCtx, sc, accounts) })
	wg.Go(func() { c.injectFaults(d, sc) })
	jobTotals, jobErr := runJobs(ctx, d, sc)
	wg.Wait()
	time.Sleep(time.Second)
	sum, err := load.countOutcomes(ctx, sc)
	sum.add(jobTotals)
	return sum, errors.Join(jobErr, err)
}

// Pauses between the requests of one account in one place.
const (
	demoIdempotentInterval    = 50 * time.Millisecond
	demoNonIdempotentInterval = 120 * time.Millisecond
)

// sendAll sends requests of both classes for every account in every place until
// ctx ends.
func (l *demoLoad) sendAll(ctx context.Context, sc scenario, accounts []primrosespar.Account) {
	var wg sync.WaitGroup
	for _, account := range accounts {
		for _, p := range l.deployment.settings.Places {
			wg.Go(func() { l.sendPeriodically(ctx, account, sc.idempotent, p.Place, demoIdempotentInterval, false) })
			wg.Go(func() { l.sendPeriodically(ctx, account, sc.nonIdempotent, p.Place, demoNonIdempotentInterval, true) })
		}
	}
	wg.Wait()
}

// sendPeriodically sends one request per interval until ctx ends, and waits for
// the answers.
func (l *demoLoad) sendPeriodically(ctx context.Context, account primrosespar.Account, class primrosespar.Class, place primrosespar.Place, interval time.Duration, nonIdempotent bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for index := 0; ctx.Err() == nil; index++ {
		r := &request{Account: account, Class: class, Place: place, nonIdempotent: nonIdempotent, Key: fmt.Sprintf("%s-%s-%s-%d", class, account, place, index)}
		wg.Go(func() { l.send(context.WithoutCancel(ctx), r, index) })
		time.Sleep(interval)
	}
}

// injectFaults kills one host of the scenario's place, freezes another for a
// while and then marks one upstream as leaving.
func (c *demoCommand) injectFaults(d *deployment, sc scenario) {
	step := c.Load / 5
	time.Sleep(step)
	killed := d.pickHost(sc.place, 0)
	killed.process.signal(syscall.SIGKILL)
	logf(sc.name, "host %s is killed", killed.name)
	time.Sleep(step / 4)
	d.removeFromLoadBalancer(killed)
	time.Sleep(step)
	frozen := d.pickHost(sc.place, 0)
	frozen.process.signal(syscall.SIGSTOP)
	logf(sc.name, "host %s is frozen", frozen.name)
	time.Sleep(step * 2)
	frozen.process.signal(syscall.SIGCONT)
	logf(sc.name, "host %s resumes", frozen.name)
	leaving := d.upstreams[0]
	_ = callJSON(context.Background(), http.MethodPut, "http://"+leaving.String()+"/admin/leaving", nil, nil)
	logf(sc.name, "the upstream at %s is leaving", leaving)
}

// runJobs fills both full racks of a place with gangs of the borrower and then
// submits a claim of the owner to one rack.
func runJobs(ctx context.Context, d *deployment, sc scenario) (totals, error) {
	client := d.operatorClient(sc.place)
	var borrowed []primrosespar.JobID
	for i := range 2 {
		job, err := submitGang(ctx, client, sc, sc.borrower, fmt.Sprintf("lent-%d", i), workersPerRack, acceleratorsPerWorker, time.Hour, false)
		if err != nil {
			return totals{}, err
		}
		borrowed = append(borrowed, job)
	}
	if err := awaitJobStarts(ctx, d, borrowed, startTimeout); err != nil {
		return totals{}, err
	}
	logf(sc.name, "%s borrows both racks of %s for gangs of 8 members with 8 accelerators", sc.borrower, sc.place)
	submitted := time.Now()
	claim, err := submitGang(ctx, client, sc, sc.owner, "claim", 1, workersPerRack*acceleratorsPerWorker, 5*time.Second, true)
	if err != nil {
		return totals{}, err
	}
	err = awaitJobStarts(ctx, d, []primrosespar.JobID{claim}, 2*maxClaimDelay)
	elapsed := time.Since(submitted)
	logf(sc.name, "%s got its guaranteed rack of %s after %s", sc.owner, sc.place, elapsed.Round(time.Millisecond))
	sum := totals{Claims: 1}
	if err != nil || elapsed > maxClaimDelay {
		sum.ClaimsLate = 1
	}
	return sum, err
}

// submitGang submits a gang job and returns its ID.
func submitGang(ctx context.Context, client *caller.Caller, sc scenario, account primrosespar.Account, key string, members, block int, runTime time.Duration, claim bool) (primrosespar.JobID, error) {
	payload, err := json.Marshal(struct {
		RunTime int64 `json:"run_time_ms"`
		Members int   `json:"members"`
	}{runTime.Milliseconds(), members})
	if err != nil {
		return "", eris.Wrap(err, "encode payload")
	}
	answer, err := client.Submit(ctx, key, true, caller.JobRequest{
		Account: account, Class: sc.gang, Place: sc.place, Claim: claim, Payload: payload,
		Shape:    primrosespar.Shape{Members: members, Block: block, Cores: 4, MemoryBytes: 1 << 30},
		Declared: caller.Duration(runTime),
	})
	return answer.ID, eris.Wrapf(err, "submit job of %s", account)
}

// awaitJobStarts waits until the history of the workers has a released member
// of every job.
func awaitJobStarts(ctx context.Context, d *deployment, jobs []primrosespar.JobID, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		history, err := fetchWorkerHistory(ctx, d)
		if err != nil {
			return err
		}
		released := map[primrosespar.JobID]bool{}
		for _, e := range history.Events {
			if e.Kind == executor.EventReleased {
				released[e.Gang] = true
			}
		}
		allReleased := true
		for _, id := range jobs {
			allReleased = allReleased && released[id]
		}
		if allReleased {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Errorf("jobs %v did not start within %s", jobs, timeout)
}

// fetchWorkerHistory returns the events of all workers and their summary.
func fetchWorkerHistory(ctx context.Context, d *deployment) (server.History, error) {
	var h server.History
	path := fmt.Sprintf("/admin/history?bound_ms=%d", maxPartialTime.Milliseconds())
	return h, d.callAdmin(ctx, http.MethodGet, path, nil, &h)
}

// countOutcomes compares the outcome of every request with the runs that the
// upstreams counted, and prints how often each outcome occurred and why.
func (l *demoLoad) countOutcomes(ctx context.Context, sc scenario) (totals, error) {
	runs, err := l.deployment.runCounts(ctx)
	if err != nil {
		return totals{}, err
	}
	history, err := fetchWorkerHistory(ctx, l.deployment)
	if err != nil {
		return totals{}, err
	}
	sum := totals{GangsStarted: history.Summary.GangsStarted, GangsPartial: history.Summary.GangsPartial}
	reasons := map[string]int{}
	for _, r := range l.requests {
		runCount := runs[servicer.RunCount{Account: r.Account, Key: r.Key}]
		sum.Requests++
		if l.logEach {
			logf(sc.name, "%s of %s: %s, %s, %d attempts, %d runs, %s", r.Key, r.Account, r.Outcome, r.Code, r.Attempts, runCount, r.Duration.Round(time.Millisecond))
		}
		reasons[fmt.Sprintf("%s %s: %s", r.Class, r.Outcome, r.Code)]++
		switch r.Outcome {
		case outcomeAnswered:
			sum.Answered++
			if runCount == 0 {
				sum.Lost++
			}
		case outcomeNotRun:
			sum.RefusedNotRun++
			if runCount > 0 {
				sum.FalseRefusals++
				logf(sc.name, "request %s was refused as not run and ran %d times", r.Key, runCount)
			}
		case outcomeWrong:
			sum.WrongAnswers++
		default:
			sum.OutcomeUnknown++
		}
		if r.nonIdempotent && runCount > 1 {
			sum.RanTwice++
			logf(sc.name, "request %s ran %d times", r.Key, runCount)
		}
	}
	for reason, count := range reasons {
		logf(sc.name, "%6d  %s", count, reason)
	}
	return sum, nil
}

// logf prints a progress line of a deployment.
func logf(name, format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, "%-8s %s\n", name, fmt.Sprintf(format, args...))
}
