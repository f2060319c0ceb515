package main

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// trialCommand runs one deployment under faults that depend on the seed alone
// and checks the recorded history against what the stand-ins counted.
type trialCommand struct {
	Seed     uint64        `help:"Seed of callers and faults." default:"1"`
	Faults   string        `help:"Fault mix: store, hosts, place, upstream, stop, workers or mix." default:"mix"`
	Load     time.Duration `help:"Time that callers send requests and faults happen." default:"30s"`
	Hosts    int           `help:"Entry hosts per place." default:"2"`
	Scenario string        `help:"Example deployment: coop or bascule." default:"coop"`
	Examples string        `help:"Folder of the example deployments." default:"examples" type:"path"`
	Program  string        `help:"The primrosespar binary." default:"bin/primrosespar" type:"path"`
	Keep     string        `help:"Keep logs, settings and the history in this folder." type:"path"`
}

// trialTotals is the JSON line of a trial.
type trialTotals struct {
	Seed       uint64         `json:"seed"`
	Faults     string         `json:"faults"`
	Calls      int            `json:"calls"`
	Keys       int            `json:"keys"`
	Outcomes   map[string]int `json:"outcomes"`
	Windows    map[string]int `json:"windows"`
	Observed   map[string]int `json:"seen"`
	Violations map[string]int `json:"broken"`
}

// trial is one run of the command.
type trial struct {
	options    *trialCommand
	scenario   scenario
	deployment *deployment
	load       *trialLoad
	operators  *operators
	submitter  *jobSubmitter
	faults     *trialFaults
	violations violations
	// observed counts the cases that the checks applied to, so that a trial
	// without any is not mistaken for a successful one.
	observed map[string]int
}

// settleTime is how long the hosts have to recover from the last fault.
const settleTime = 4 * time.Second

// maxReplayedCalls limits the calls that are repeated after the faults.
const maxReplayedCalls = 300

// Run runs the trial, prints its totals and fails if it found a violation.
func (c *trialCommand) Run() error {
	mix, ok := faultMixes()[c.Faults]
	if !ok {
		return eris.Errorf("fault mix %q does not exist", c.Faults)
	}
	available := scenarios()
	i := slices.IndexFunc(available, func(s scenario) bool { return s.name == c.Scenario })
	if i < 0 {
		return eris.Errorf("scenario %q does not exist", c.Scenario)
	}
	demo := &demoCommand{Keep: c.Keep}
	dir, err := demo.workDir()
	if err != nil {
		return err
	}
	if c.Keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	executable, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find own executable")
	}
	processes := &processGroup{dir: dir}
	defer processes.stop(0)
	d := &deployment{name: c.Scenario, examplesDir: filepath.Join(c.Examples, c.Scenario), programPath: c.Program, standinPath: executable, processes: processes}
	t := &trial{options: c, scenario: available[i], deployment: d, observed: map[string]int{}}
	if err := t.run(context.Background(), mix); err != nil {
		return err
	}
	return t.report(dir)
}

// run starts the deployment, runs load and faults at the same time and checks
// the recorded history.
func (t *trial) run(ctx context.Context, mix []string) error {
	if err := t.deployment.start(ctx, t.options.Hosts); err != nil {
		return err
	}
	if _, err := t.deployment.applyContracts(ctx); err != nil {
		return err
	}
	if err := t.deployment.awaitContracts(ctx); err != nil {
		return err
	}
	t.load = newTrialLoad(t.deployment, t.options.Seed)
	t.operators = &operators{deployment: t.deployment, account: t.scenario.borrower, random: rand.New(rand.NewPCG(t.options.Seed, 3))}
	t.submitter = &jobSubmitter{deployment: t.deployment, scenario: t.scenario, seed: t.options.Seed}
	t.faults = newTrialFaults(t.deployment, t.options.Seed, t.options.Hosts)
	loadCtx, cancel := context.WithTimeout(ctx, t.options.Load)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { t.load.run(loadCtx, t.scenario) })
	wg.Go(func() { t.faults.run(loadCtx, mix) })
	wg.Go(func() { t.operators.watchHosts(loadCtx) })
	wg.Go(func() { t.submitter.run(loadCtx) })
	var amendErr error
	wg.Go(func() { amendErr = t.operators.run(loadCtx, t.deployment.examplesDir) })
	wg.Wait()
	time.Sleep(settleTime)
	t.load.replayCalls(ctx, maxReplayedCalls)
	return errors.Join(append(t.faults.errs, amendErr, t.check(ctx))...)
}

// check runs all checks on the recorded history.
func (t *trial) check(ctx context.Context) error {
	runs, departures, err := t.deployment.executions(ctx)
	if err != nil {
		return err
	}
	amendmentHistory, err := t.deployment.operatorClient(t.scenario.place).History(ctx, t.operators.account)
	if err != nil {
		return err
	}
	checkRevisions(&t.violations, t.observed, t.operators)
	checkRaces(&t.violations, t.observed, t.operators, amendmentHistory)
	checkLeaving(&t.violations, t.observed, t.faults.leavingSince, departures)
	checkStops(&t.violations, t.observed, t.load.history.calls, t.faults.windows)
	checkCalls(&t.violations, t.load.history.calls, runs)
	checkMinted(&t.violations, t.observed, t.load.history.calls, t.faults.windows)
	return t.checkJobs(ctx)
}

// executions returns every run that the upstreams recorded, and by upstream
// when it refused and got requests while leaving.
func (d *deployment) executions(ctx context.Context) ([]servicer.Execution, map[netip.AddrPort]servicer.Departure, error) {
	var all []servicer.Execution
	departures := map[netip.AddrPort]servicer.Departure{}
	for _, address := range d.upstreams {
		var record servicer.Record
		if err := callJSON(ctx, http.MethodGet, "http://"+address.String()+"/admin/executions", nil, &record); err != nil {
			return nil, nil, err
		}
		all = append(all, record.Executions...)
		departures[address] = record.Departure
	}
	return all, departures, nil
}

// report prints the violations and the totals and fails if there was a
// violation.
func (t *trial) report(dir string) error {
	sum := trialTotals{
		Seed: t.options.Seed, Faults: t.options.Faults, Outcomes: map[string]int{},
		Windows: map[string]int{}, Observed: t.observed, Violations: t.violations.counts,
	}
	keys := map[accountKey]bool{}
	for _, c := range t.load.history.calls {
		sum.Calls++
		keys[accountKey{c.Account, c.Key}] = true
		sum.Outcomes[outcomeOf(c)]++
	}
	sum.Keys = len(keys)
	for _, w := range t.faults.windows {
		sum.Windows[w.Fault]++
	}
	if t.options.Keep != "" {
		if err := t.writeHistory(filepath.Join(dir, "history.json")); err != nil {
			return err
		}
	}
	for _, line := range t.violations.lines {
		logf(t.scenario.name, "%s", line)
	}
	if err := printJSONLine(sum); err != nil {
		return err
	}
	if len(t.violations.counts) > 0 {
		return errors.New("a guarantee was violated: " + strings.Join(t.violations.lines[:1], ""))
	}
	return nil
}

// outcomeOf returns the name of a call's outcome in the totals.
func outcomeOf(c call) string {
	switch {
	case c.answered() && c.Code == "2":
		return "replayed"
	case c.answered():
		return "answered"
	case c.Ran == primrosespar.RanNot:
		return "not_run"
	default:
		return "unknown"
	}
}

// writeHistory stores calls and fault windows, from which a violation can be
// analysed.
func (t *trial) writeHistory(file string) error {
	data, err := json.Marshal(struct {
		Calls   []call        `json:"calls"`
		Windows []faultWindow `json:"windows"`
	}{t.load.history.calls, t.faults.windows})
	if err != nil {
		return eris.Wrap(err, "encode history")
	}
	return eris.Wrap(os.WriteFile(file, data, 0o600), "write history")
}
