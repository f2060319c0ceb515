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

// Bounds that the design promises.
const (
	partialBound = 15 * time.Second
	urgentBound  = 9300 * time.Millisecond
)

// demoCommand runs both example deployments.
type demoCommand struct {
	Examples string        `help:"Folder of the example deployments." default:"examples" type:"path"`
	Program  string        `help:"The primrosespar binary." default:"bin/primrosespar" type:"path"`
	Hosts    int           `help:"Entry hosts per place." default:"3"`
	Load     time.Duration `help:"Time that callers send requests." default:"20s"`
	Keep     string        `help:"Keep logs and settings in this folder." type:"path"`
	Each     bool          `help:"Print each request with what it got and why, beside the sums."`
}

// totals are counted by the stand-ins from what reached them.
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

// broken reports whether a promise was not kept.
func (t totals) broken() bool {
	return t.Lost+t.RanTwice+t.GangsPartial+t.WrongAnswers+t.FalseRefusals > 0
}

// scenario is what happens in one deployment.
type scenario struct {
	name string
	// frequent and once are the request classes, job the gang class.
	frequent, once, job primrosespar.Class
	// place is where owner claims the rack that borrower fills.
	place           primrosespar.Place
	owner, borrower primrosespar.Account
}

func scenarios() []scenario {
	return []scenario{
		{"bascule", "eligibility", "recomputation", "reconciliation", "tn-charguia", "medina-energie", "sahel-courant"},
		{"coop", "confirmation", "booking", "allotment", "burnie-a", "derwent-haulage", "tamar-freight"},
	}
}

// Run plays both deployments side by side and prints the totals.
func (c *demoCommand) Run() error {
	dir, err := c.workDir()
	if err != nil {
		return err
	}
	if c.Keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	children := &processes{dir: dir}
	defer children.stop(10 * time.Second)
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find own program")
	}
	var sum totals
	var failures []error
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, s := range scenarios() {
		wg.Go(func() {
			d := &deployment{name: s.name, examples: filepath.Join(c.Examples, s.name), program: c.Program, standin: self, children: children}
			got, err := c.play(context.Background(), d, s)
			mu.Lock()
			defer mu.Unlock()
			sum.add(got)
			if err != nil {
				failures = append(failures, eris.Wrap(err, s.name))
			}
		})
	}
	wg.Wait()
	if err := printLine(sum); err != nil {
		return err
	}
	if sum.broken() {
		failures = append(failures, errors.New("a promise was not kept"))
	}
	return errors.Join(failures...)
}

func (c *demoCommand) workDir() (string, error) {
	if c.Keep != "" {
		return c.Keep, eris.Wrap(os.MkdirAll(c.Keep, 0o755), "make folder")
	}
	dir, err := os.MkdirTemp("", "primrosespar-demo-")
	return dir, eris.Wrap(err, "make folder")
}

// play runs one scenario to its end.
func (c *demoCommand) play(ctx context.Context, d *deployment, s scenario) (totals, error) {
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
	say(s.name, "%d hosts in %d places have the contracts of %d client accounts", len(d.hosts), len(d.settings.Places), len(accounts))
	l := newLoad(d)
	l.each = c.Each
	var wg sync.WaitGroup
	limit, cancel := context.WithTimeout(ctx, c.Load)
	defer cancel()
	wg.Go(func() { l.callers(limit, s, accounts) })
	wg.Go(func() { c.disturb(d, s) })
	jobs, jobErr := playJobs(ctx, d, s)
	wg.Wait()
	time.Sleep(time.Second)
	sum, err := l.count(ctx, s)
	sum.add(jobs)
	return sum, errors.Join(jobErr, err)
}

// Rates of the demonstration's callers, per account and place.
const (
	frequentPause = 50 * time.Millisecond
	oncePause     = 120 * time.Millisecond
)

// callers send both request classes for every account in every place.
func (l *load) callers(ctx context.Context, s scenario, accounts []primrosespar.Account) {
	var wg sync.WaitGroup
	for _, account := range accounts {
		for _, p := range l.deployment.settings.Places {
			wg.Go(func() { l.stream(ctx, account, s.frequent, p.Place, frequentPause, false) })
			wg.Go(func() { l.stream(ctx, account, s.once, p.Place, oncePause, true) })
		}
	}
	wg.Wait()
}

// stream sends one request after each pause until ctx ends, and waits for the
// answers.
func (l *load) stream(ctx context.Context, account primrosespar.Account, class primrosespar.Class, place primrosespar.Place, pause time.Duration, once bool) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for turn := 0; ctx.Err() == nil; turn++ {
		r := &request{Account: account, Class: class, Place: place, once: once, Key: fmt.Sprintf("%s-%s-%s-%d", class, account, place, turn)}
		wg.Go(func() { l.send(context.WithoutCancel(ctx), r, turn) })
		time.Sleep(pause)
	}
}

// disturb kills one host of the scenario's place and freezes another for a
// while, and one upstream leaves.
func (c *demoCommand) disturb(d *deployment, s scenario) {
	step := c.Load / 5
	time.Sleep(step)
	killed := d.pick(s.place, 0)
	killed.process.signal(syscall.SIGKILL)
	say(s.name, "host %s is killed", killed.name)
	time.Sleep(step / 4)
	d.drop(killed)
	time.Sleep(step)
	frozen := d.pick(s.place, 0)
	frozen.process.signal(syscall.SIGSTOP)
	say(s.name, "host %s is frozen", frozen.name)
	time.Sleep(step * 2)
	frozen.process.signal(syscall.SIGCONT)
	say(s.name, "host %s goes on", frozen.name)
	leaving := d.upstreams[0]
	_ = callJSON(context.Background(), http.MethodPut, "http://"+leaving.String()+"/admin/leaving", nil, nil)
	say(s.name, "the upstream at %s is leaving", leaving)
}

// playJobs fills the racks of a place with borrowed gangs and then claims one
// rack back.
func playJobs(ctx context.Context, d *deployment, s scenario) (totals, error) {
	operator := d.operator(s.place)
	var lent []primrosespar.JobID
	for i := range 2 {
		job, err := submit(ctx, operator, s, s.borrower, fmt.Sprintf("lent-%d", i), workersPerRack, accelerators, time.Hour, false)
		if err != nil {
			return totals{}, err
		}
		lent = append(lent, job)
	}
	if err := awaitReleased(ctx, d, lent, startLimit); err != nil {
		return totals{}, err
	}
	say(s.name, "%s borrows both racks of %s for gangs of 8 members with 8 accelerators", s.borrower, s.place)
	claimed := time.Now()
	claim, err := submit(ctx, operator, s, s.owner, "claim", 1, workersPerRack*accelerators, 5*time.Second, true)
	if err != nil {
		return totals{}, err
	}
	err = awaitReleased(ctx, d, []primrosespar.JobID{claim}, 2*urgentBound)
	took := time.Since(claimed)
	say(s.name, "%s has its guaranteed rack of %s after %s", s.owner, s.place, took.Round(time.Millisecond))
	sum := totals{Claims: 1}
	if err != nil || took > urgentBound {
		sum.ClaimsLate = 1
	}
	return sum, err
}

// submit submits a gang job and returns its id.
func submit(ctx context.Context, operator *caller.Caller, s scenario, account primrosespar.Account, key string, members, block int, run time.Duration, claim bool) (primrosespar.JobID, error) {
	work, err := json.Marshal(struct {
		RunTime int64 `json:"run_time_ms"`
		Members int   `json:"members"`
	}{run.Milliseconds(), members})
	if err != nil {
		return "", eris.Wrap(err, "encode work")
	}
	answer, err := operator.Submit(ctx, key, true, caller.JobRequest{
		Account: account, Class: s.job, Place: s.place, Claim: claim, Work: work,
		Shape:    primrosespar.Shape{Members: members, Block: block, Cores: 4, MemoryBytes: 1 << 30},
		Declared: caller.Duration(run),
	})
	return answer.ID, eris.Wrapf(err, "submit job of %s", account)
}

// awaitReleased waits until the workers' own history shows a released member
// of every job.
func awaitReleased(ctx context.Context, d *deployment, jobs []primrosespar.JobID, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		history, err := historyOf(ctx, d)
		if err != nil {
			return err
		}
		released := map[primrosespar.JobID]bool{}
		for _, e := range history.Events {
			if e.Kind == executor.EventReleased {
				released[e.Gang] = true
			}
		}
		all := true
		for _, id := range jobs {
			all = all && released[id]
		}
		if all {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return eris.Errorf("jobs %v did not start within %s", jobs, limit)
}

func historyOf(ctx context.Context, d *deployment) (server.History, error) {
	var h server.History
	path := fmt.Sprintf("/admin/history?bound_ms=%d", partialBound.Milliseconds())
	return h, d.admin(ctx, http.MethodGet, path, nil, &h)
}

// count judges every request by what the service runners ran.
func (l *load) count(ctx context.Context, s scenario) (totals, error) {
	runs, err := l.deployment.runs(ctx)
	if err != nil {
		return totals{}, err
	}
	history, err := historyOf(ctx, l.deployment)
	if err != nil {
		return totals{}, err
	}
	sum := totals{GangsStarted: history.Summary.GangsStarted, GangsPartial: history.Summary.GangsPartial}
	reasons := map[string]int{}
	for _, r := range l.requests {
		n := runs[servicer.Run{Account: r.Account, Key: r.Key}]
		sum.Requests++
		if l.each {
			say(s.name, "%s of %s: %s, %s, %d calls, %d runs, %s", r.Key, r.Account, r.Outcome, r.Code, r.Calls, n, r.Took.Round(time.Millisecond))
		}
		reasons[fmt.Sprintf("%s %s: %s", r.Class, r.Outcome, r.Code)]++
		switch r.Outcome {
		case outcomeAnswered:
			sum.Answered++
			if n == 0 {
				sum.Lost++
			}
		case outcomeNotRun:
			sum.RefusedNotRun++
			if n > 0 {
				sum.FalseRefusals++
				say(s.name, "request %s was refused as not run and ran %d times", r.Key, n)
			}
		case outcomeWrong:
			sum.WrongAnswers++
		default:
			sum.OutcomeUnknown++
		}
		if r.once && n > 1 {
			sum.RanTwice++
			say(s.name, "request %s ran %d times", r.Key, n)
		}
	}
	for reason, n := range reasons {
		say(s.name, "%6d  %s", n, reason)
	}
	return sum, nil
}

// say prints one line of the demonstration.
func say(name, format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, "%-8s %s\n", name, fmt.Sprintf(format, args...))
}
