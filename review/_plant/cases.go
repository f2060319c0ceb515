package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"primrosespar.example/primrosespar/platform/standin"
)

// playStuck plays a busy worker of which one channel is reset as it has carried out
// the start of a task, and that crashes some seconds later and starts again under
// its ID.
func playStuck(p *play) (string, error) {
	const job = "5c0e7a21d94b36f8"
	if err := p.start(12, 2); err != nil {
		return "", err
	}
	var index atomic.Int64
	index.Store(-1)
	for _, h := range p.hosts {
		for i, l := range h.links {
			l.setOnSent(func(sent *pair, data []byte) bool {
				start := strings.Contains(string(data), "/run-start") && strings.Contains(string(data), job+".")
				if !start || !index.CompareAndSwap(-1, int64(i)) || !p.trouble {
					return false
				}
				time.AfterFunc(10*time.Millisecond, func() {
					p.note("trouble: 1 of %d channels of %s to %s is reset", len(l.open()), h.name, p.fleet.Workers()[i])
					l.reset(sent)
				})
				return true
			})
		}
	}
	// Short tasks, which end one after the other, on the worker that the other task
	// is placed on as well.
	for i := range 7 {
		if err := p.submit(fmt.Sprintf("%s00000000000000a%d", standin.PlainPrefix, i),
			`{"spec":"ms=4000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":4000}]}`); err != nil {
			return "", err
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !await(10*time.Second, func() bool { return p.fleet.Succeeded("00000000000000a0.0.0.0") }) {
		return "", errors.New("the short tasks did not run")
	}
	if err := p.submit(standin.PlainPrefix+job, `{"spec":"ms=15000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":15000}]}`); err != nil {
		return "", err
	}
	task := job + ".0.0.0"
	if !await(10*time.Second, func() bool { return p.fleet.TimeAtWork(task) > 0 }) {
		return "", errors.New("the task did not start")
	}
	time.Sleep(8 * time.Second)
	if p.trouble {
		i := index.Load()
		w := p.fleet.Workers()[i]
		p.note("trouble: %s crashes", w)
		p.setDown(int(i), true)
		time.Sleep(time.Second)
		w.Restart()
		p.setDown(int(i), false)
		p.note("trouble: %s is back under its ID", w)
	}
	// By then the last call is 14 s ago.
	broken := p.watchWithoutRun(task, 6*time.Second, 20*time.Second)
	_, _ = p.call(p.hosts[0], http.MethodGet, standin.PlainPrefix+job, "")
	return broken, nil
}

// setDown sets whether the worker is out of reach of all hosts.
func (p *play) setDown(worker int, down bool) {
	for _, h := range p.hosts {
		h.links[worker].setDown(down)
	}
}

// watchWithoutRun watches the task from a delay on and returns that it was not
// running for 3 s on end, or nothing.
func (p *play) watchWithoutRun(task string, delay, during time.Duration) string {
	time.Sleep(delay)
	longest := longestWithout(during, func() bool { return p.fleet.TimeAtWork(task) > 0 || p.fleet.Succeeded(task) })
	p.note("check: from %v after the trouble, task %s had no run for %v at most", delay, task, longest)
	if longest < 3*time.Second {
		return ""
	}
	return fmt.Sprintf("LOST: task %s had no run for %v", task, longest)
}

// playFull plays a task that lasts, in a service that is full of longer work, whose
// worker is lost for good.
func playFull(p *play) (string, error) {
	const lasting, filling = "5c0e7a21d94b36f8", "00000000000000b1"
	const workers = 8
	if err := p.start(0, 2); err != nil {
		return "", err
	}
	if err := p.startWorkers(workers); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if err := p.submitAs(standin.OtherAPIKey, standin.PlainPrefix+lasting,
		`{"spec":"lasting","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":1000,"longRunning":true}]}`); err != nil {
		return "", err
	}
	time.Sleep(time.Second)
	if err := p.submitAs(standin.OtherAPIKey, standin.PlainPrefix+filling,
		`{"spec":"100000","steps":[{"count":70,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":100000}]}`); err != nil {
		return "", err
	}
	time.Sleep(2 * time.Second)
	// Urgent work takes what is kept free for it.
	for i := 0; p.atWork("") < workers*accelerators; i++ {
		if i == 16 {
			return "", fmt.Errorf("only %d tasks are at work", p.atWork(""))
		}
		if err := p.submit(fmt.Sprintf("%s00000000000000c%x", standin.UrgentPrefix, i),
			`{"spec":"100000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":100000}]}`); err != nil {
			return "", err
		}
		time.Sleep(500 * time.Millisecond)
	}
	if p.atWork(lasting) == 0 {
		return "", errors.New("the task that lasts is not at work")
	}
	p.note("the service is full: %d tasks are at work on %d accelerators", p.atWork(""), workers*accelerators)
	if p.trouble {
		if err := p.loseWorkerOf(lasting); err != nil {
			return "", err
		}
	}
	// A task that lasts has to run again 6 s after its last run, if 3 s without it
	// and the 4 s before them are calm.
	time.Sleep(6 * time.Second)
	longest := longestWithout(25*time.Second, func() bool { return p.atWork(lasting) > 0 })
	p.note("check: from 6 s after the trouble, the task had no run for %v at most", longest)
	_, _ = p.callAs(standin.OtherAPIKey, p.hosts[0], http.MethodGet, standin.PlainPrefix+lasting, "")
	if longest >= 3*time.Second {
		return fmt.Sprintf("LOST: the task that lasts had no run for %v", longest), nil
	}
	return "", nil
}

// loseWorkerOf loses the worker of the job for good, with all that it runs. Its row
// goes after three of its reports.
func (p *play) loseWorkerOf(job string) error {
	for _, w := range p.workers {
		w.mu.Lock()
		_, runs := w.runs[job+".0.0.0"]
		w.mu.Unlock()
		if !runs {
			continue
		}
		p.note("trouble: worker %s crashes and does not come back", w.id)
		w.lose()
		time.AfterFunc(4500*time.Millisecond, func() {
			_ = p.writeRows(map[string]any{
				"precondition": []any{}, "puts": []any{},
				"remove": []any{map[string]any{"table": "servers", "part": "", "key": w.id}},
			})
		})
		return nil
	}
	return errors.New("the worker of the task is not known")
}

// longestWithout returns for how long on end the condition did not hold at most.
func longestWithout(during time.Duration, holds func() bool) time.Duration {
	var since time.Time
	longest := time.Duration(0)
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		switch {
		case holds():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		default:
			longest = max(longest, time.Since(since))
		}
	}
	return longest.Round(10 * time.Millisecond)
}

// playReclaim plays urgent work within the guarantee of its tenant that comes
// while tasks of another tenant, which last, use what was idle.
func playReclaim(p *play) (string, error) {
	const urgent, lasting = "5c0e7a21d94b36f8", "00000000000000c1"
	const workers = 4
	if err := p.start(0, 2); err != nil {
		return "", err
	}
	if err := p.startWorkers(workers); err != nil {
		return "", err
	}
	time.Sleep(3 * time.Second)
	if err := p.submitAs(standin.OtherAPIKey, standin.PlainPrefix+lasting,
		`{"spec":"lasting","steps":[{"count":31,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":1000,"longRunning":true,"maxUnavailable":1}]}`); err != nil {
		return "", err
	}
	time.Sleep(10 * time.Second)
	p.note("%d tasks that last are at work on %d accelerators", p.atWork(lasting), workers*accelerators)
	tasks := 1
	if p.trouble {
		tasks = 8
	}
	p.note("urgent work comes for %d of the 8 accelerators that are guaranteed to its tenant", tasks)
	if err := p.submit(standin.UrgentPrefix+urgent, fmt.Sprintf(`{"spec":"60000","steps":[{"count":%d,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":60000}]}`, tasks)); err != nil {
		return "", err
	}
	accepted := time.Now()
	all := await(20*time.Second, func() bool { return p.atWork(urgent) == tasks })
	took := time.Since(accepted).Round(10 * time.Millisecond)
	p.note("check: %d of %d tasks had begun %v after the acknowledgement", p.atWork(urgent), tasks, took)
	if !all || took > 3400*time.Millisecond {
		return fmt.Sprintf("RECLAIM: %d of %d tasks within the guarantee had begun %v after the acknowledgement", p.atWork(urgent), tasks, took), nil
	}
	return "", nil
}

// playGiveUp plays three workers of a rack that are cut off one after the other,
// crash behind the cut and start again, each while the start of a task is on its
// way there.
func playGiveUp(p *play) (string, error) {
	const job, label = "5c0e7a21d94b36f8", "r2"
	const first = 2 * workersPerRack
	if err := p.start(first+3, 2); err != nil {
		return "", err
	}
	task := job + ".0.0.0"
	time.Sleep(3 * time.Second)
	if p.trouble {
		for i := range 3 {
			go p.cutAndReplace(first+i, time.Duration(i)*2500*time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
	}
	if err := p.submit(standin.PlainPrefix+job, fmt.Sprintf(
		`{"spec":"ms=2000","steps":[{"count":1,"cpu":1000,"memMb":256,"gpu":1,"estimateMs":2000,"requiredLabel":%q}]}`, label)); err != nil {
		return "", err
	}
	time.Sleep(30 * time.Second)
	status, text := p.call(p.hosts[0], http.MethodGet, standin.PlainPrefix+job, "")
	p.note("check: the task was started: %t", p.fleet.Started(task))
	switch {
	case status == http.StatusOK && strings.Contains(text, "failed") && !p.fleet.Started(task):
		return "LOST: the job is shown as failed, and no worker has ever begun its task", nil
	case status != http.StatusOK || !strings.Contains(text, "completed"):
		return "", fmt.Errorf("the job is neither shown as failed nor as completed: %d %s", status, text)
	}
	return "", nil
}

// cutAndReplace cuts a worker off after a delay. It crashes behind the cut and
// starts again under another ID before the cut ends.
func (p *play) cutAndReplace(worker int, delay time.Duration) {
	time.Sleep(delay)
	w := p.fleet.Workers()[worker]
	p.note("trouble: %s is cut off", w)
	for _, h := range p.hosts {
		h.links[worker].setCut(true)
	}
	time.Sleep(2500 * time.Millisecond)
	p.note("trouble: %s crashes behind the cut", w)
	w.SetCutOff(true)
	time.Sleep(500 * time.Millisecond)
	w.Replace()
	p.note("trouble: %s has started again and is reached", w)
	for _, h := range p.hosts {
		h.links[worker].setCut(false)
	}
	// It registers with its first report.
	w.SetCutOff(false)
}
