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

// trialCommand runs one deployment under faults that follow from the seed and
// judges the recorded history by what the stand-ins counted.
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
	Seed     uint64         `json:"seed"`
	Faults   string         `json:"faults"`
	Calls    int            `json:"calls"`
	Keys     int            `json:"keys"`
	Outcomes map[string]int `json:"outcomes"`
	Windows  map[string]int `json:"windows"`
	Seen     map[string]int `json:"seen"`
	Broken   map[string]int `json:"broken"`
}

// trial is one trial at work.
type trial struct {
	command    *trialCommand
	scenario   scenario
	deployment *deployment
	callers    *callers
	operators  *operators
	submitters *submitters
	schedule   *schedule
	findings   findings
	// seen counts what the judges had to judge, so that a trial that saw
	// nothing cannot pass for a proof.
	seen map[string]int
}

// settleTime lets hosts take up what the last fault left open.
const settleTime = 4 * time.Second

// askAgainLimit bounds the repeated calls after the faults.
const askAgainLimit = 300

// Run plays the trial and judges it.
func (c *trialCommand) Run() error {
	faults, ok := mixes()[c.Faults]
	if !ok {
		return eris.Errorf("fault mix %q does not exist", c.Faults)
	}
	all := scenarios()
	i := slices.IndexFunc(all, func(s scenario) bool { return s.name == c.Scenario })
	if i < 0 {
		return eris.Errorf("scenario %q does not exist", c.Scenario)
	}
	keep := &demoCommand{Keep: c.Keep}
	dir, err := keep.workDir()
	if err != nil {
		return err
	}
	if c.Keep == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	self, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "find own program")
	}
	children := &processes{dir: dir}
	defer children.stop(0)
	d := &deployment{name: c.Scenario, examples: filepath.Join(c.Examples, c.Scenario), program: c.Program, standin: self, children: children}
	t := &trial{command: c, scenario: all[i], deployment: d, seen: map[string]int{}}
	if err := t.play(context.Background(), faults); err != nil {
		return err
	}
	return t.report(dir)
}

// play brings the deployment up, runs load and faults, and judges.
func (t *trial) play(ctx context.Context, faults []string) error {
	if err := t.deployment.start(ctx, t.command.Hosts); err != nil {
		return err
	}
	if _, err := t.deployment.applyContracts(ctx); err != nil {
		return err
	}
	if err := t.deployment.awaitContracts(ctx); err != nil {
		return err
	}
	t.callers = newCallers(t.deployment, t.command.Seed)
	t.operators = &operators{deployment: t.deployment, account: t.scenario.borrower, random: rand.New(rand.NewPCG(t.command.Seed, 3))}
	t.submitters = &submitters{deployment: t.deployment, scenario: t.scenario, seed: t.command.Seed}
	t.schedule = newSchedule(t.deployment, t.command.Seed, t.command.Hosts)
	limit, cancel := context.WithTimeout(ctx, t.command.Load)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { t.callers.run(limit, t.scenario) })
	wg.Go(func() { t.schedule.run(limit, faults) })
	wg.Go(func() { t.operators.watch(limit) })
	wg.Go(func() { t.submitters.run(limit) })
	var amendErr error
	wg.Go(func() { amendErr = t.operators.run(limit, t.deployment.examples) })
	wg.Wait()
	time.Sleep(settleTime)
	t.callers.askAgain(ctx, askAgainLimit)
	return errors.Join(append(t.schedule.errs, amendErr, t.judge(ctx))...)
}

// judge judges what was recorded.
func (t *trial) judge(ctx context.Context) error {
	runs, departures, err := t.deployment.executions(ctx)
	if err != nil {
		return err
	}
	amended, err := t.deployment.operator(t.scenario.place).History(ctx, t.operators.account)
	if err != nil {
		return err
	}
	judgeRevisions(&t.findings, t.seen, t.operators)
	judgeRaces(&t.findings, t.seen, t.operators, amended)
	judgeLeaving(&t.findings, t.seen, t.schedule.left, departures)
	judgeStops(&t.findings, t.seen, t.callers.history.calls, t.schedule.windows)
	judgeCalls(&t.findings, t.callers.history.calls, runs)
	judgeMinted(&t.findings, t.seen, t.callers.history.calls, t.schedule.windows)
	return t.judgeGangs(ctx)
}

// executions returns every run that the service runners counted and what the
// leaving ones saw.
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

// report prints the totals and fails if a promise was broken.
func (t *trial) report(dir string) error {
	sum := trialTotals{
		Seed: t.command.Seed, Faults: t.command.Faults, Outcomes: map[string]int{},
		Windows: map[string]int{}, Seen: t.seen, Broken: t.findings.counts,
	}
	keys := map[name]bool{}
	for _, c := range t.callers.history.calls {
		sum.Calls++
		keys[name{c.Account, c.Key}] = true
		sum.Outcomes[outcomeOf(c)]++
	}
	sum.Keys = len(keys)
	for _, w := range t.schedule.windows {
		sum.Windows[w.Fault]++
	}
	if t.command.Keep != "" {
		if err := t.write(filepath.Join(dir, "history.json")); err != nil {
			return err
		}
	}
	for _, line := range t.findings.lines {
		say(t.scenario.name, "%s", line)
	}
	if err := printLine(sum); err != nil {
		return err
	}
	if len(t.findings.counts) > 0 {
		return errors.New("a promise was broken: " + strings.Join(t.findings.lines[:1], ""))
	}
	return nil
}

// outcomeOf names the outcome of a call for the totals.
func outcomeOf(c call) string {
	switch {
	case c.ok() && c.Code == "2":
		return "replayed"
	case c.ok():
		return "answered"
	case c.Ran == primrosespar.RanNot:
		return "not_run"
	default:
		return "unknown"
	}
}

// write stores calls and faults for a look at a broken promise.
func (t *trial) write(file string) error {
	data, err := json.Marshal(struct {
		Calls   []call   `json:"calls"`
		Windows []window `json:"windows"`
	}{t.callers.history.calls, t.schedule.windows})
	if err != nil {
		return eris.Wrap(err, "encode history")
	}
	return eris.Wrap(os.WriteFile(file, data, 0o600), "write history")
}
