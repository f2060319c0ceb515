package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// findings are broken promises with one line each.
type findings struct {
	counts map[string]int
	lines  []string
}

// linesPerPromise bounds the lines of one promise; all are counted.
const linesPerPromise = 5

func (f *findings) add(promise, format string, args ...any) {
	if f.counts == nil {
		f.counts = map[string]int{}
	}
	f.counts[promise]++
	if f.counts[promise] <= linesPerPromise {
		f.lines = append(f.lines, promise+": "+fmt.Sprintf(format, args...))
	}
}

// name identifies a key of an account.
type name struct {
	account primrosespar.Account
	key     string
}

// operation is the input of one operation on a key: a call with what it
// returned, or a run that a service runner counted.
type operation struct {
	run    bool
	number string
	call   call
}

// Operations have no output of their own: what a call returned stands in its
// input, since the model only says whether the history is possible.

// keyModel is a key of a non-idempotent class. Its state is the number of the
// run, or empty while the key is free. A run needs a free key. An answer must
// be that of the run, also if it is a replay, and a refusal as not run is
// possible only while the key is free, whatever calls came before it. Calls of
// unknown outcome say nothing about the state and are left out.
func keyModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			ran, _ := state.(string)
			op, _ := input.(operation)
			switch {
			case op.run:
				return ran == "", op.number
			case op.call.ok():
				return ran != "" && numberOf(op.call.Answer) == ran, state
			default:
				return ran == "", state
			}
		},
	}
}

// answer is the body that a service runner sends.
type answer struct {
	Digest string `json:"digest"`
	Number string `json:"number"`
}

func numberOf(body string) string {
	var a answer
	_ = json.Unmarshal([]byte(body), &a)
	return a.Number
}

// checkTime bounds the search for one key's order of operations; it is a
// finding if it does not suffice.
const checkTime = 10 * time.Second

// judgeCalls judges every key by the runs that the service runners counted.
func judgeCalls(f *findings, calls []call, runs []servicer.Execution) {
	byKey := map[name][]operation{}
	var order []name
	add := func(n name, op operation) {
		if byKey[n] == nil {
			order = append(order, n)
		}
		byKey[n] = append(byKey[n], op)
	}
	for _, c := range calls {
		add(name{c.Account, c.Key}, operation{call: c})
	}
	for _, run := range runs {
		add(name{run.Account, run.Key}, operation{run: true, number: run.Number, call: call{Start: run.At, End: run.At}})
	}
	for _, n := range order {
		judgeKey(f, n, byKey[n])
	}
}

// judgeKey judges one key.
func judgeKey(f *findings, n name, ops []operation) {
	ran := 0
	var answers []string
	allRefused, once := true, false
	for _, op := range ops {
		if op.run {
			ran++
			continue
		}
		once = once || op.call.Once
		allRefused = allRefused && op.call.notRun()
		judgeAnswer(f, op.call)
		if op.call.ok() {
			answers = append(answers, op.call.Answer)
		}
	}
	if len(answers) > 0 && ran == 0 {
		f.add("answer_without_run", "key %s has an answer and did not run", n.key)
	}
	if allRefused && ran > 0 {
		f.add("false_refusal", "every call of key %s was refused as not run and it ran %d times", n.key, ran)
	}
	if !once {
		return
	}
	if ran > 1 {
		f.add("ran_twice", "key %s ran %d times", n.key, ran)
	}
	if len(slices.Compact(slices.Clone(answers))) > 1 {
		f.add("replay_differs", "key %s has answers %q", n.key, answers)
	}
	judgeOrder(f, n, ops)
}

// judgeAnswer checks that the answer of an upstream is that of this request.
func judgeAnswer(f *findings, c call) {
	if c.Answer == "" && !c.ok() {
		return
	}
	var a answer
	if json.Unmarshal([]byte(c.Answer), &a) != nil || a.Digest != servicer.Digest(c.Account, c.Class, c.Key, bodyOf(c.Key)) {
		f.add("wrong_answer", "key %s got %q with status %d", c.Key, c.Answer, c.Status)
	}
}

// judgeOrder looks for an order of the operations that explains all answers.
func judgeOrder(f *findings, n name, ops []operation) {
	var history []porcupine.Operation
	for i, op := range ops {
		if op.run || op.call.ok() || op.call.notRun() {
			history = append(history, porcupine.Operation{
				ClientId: i, Input: op, Call: op.call.Start.UnixNano(), Return: op.call.End.UnixNano(),
			})
		}
	}
	switch porcupine.CheckOperationsTimeout(keyModel(), history, checkTime) {
	case porcupine.Ok:
	case porcupine.Unknown:
		f.add("not_judged", "key %s has too many calls to judge in %s", n.key, checkTime)
	default:
		f.add("impossible_history", "key %s: %s", n.key, describe(ops))
	}
}

// describe lists the operations of a key in the order of their start.
func describe(ops []operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b operation) int { return a.call.Start.Compare(b.call.Start) })
	const clock = "05.000"
	text := ""
	for _, op := range ops {
		if op.run {
			text += fmt.Sprintf("[ran %s at %s]", op.number, op.call.Start.Format(clock))
			continue
		}
		c := op.call
		text += fmt.Sprintf("[%s-%s %s first=%t %d %s ran=%s %s]", c.Start.Format(clock), c.End.Format(clock),
			c.Host, c.First, c.Status, c.Code, c.Ran, numberOf(c.Answer))
	}
	return text
}

// restrictedAfter is when every host knows that the store is away: its view of
// the contracts is valid for 3 s after the last poll.
const restrictedAfter = 3 * time.Second

// judgeMinted checks that calls with minted keys go on being served while the
// store is away: a first call at a host that no other fault touches must bring
// its answer.
func judgeMinted(f *findings, seen map[string]int, calls []call, windows []window) {
	for _, c := range calls {
		if !c.Minted || c.Place == "" || !duringOutage(c, windows) || disturbed(c, windows) {
			continue
		}
		seen["minted_in_outage"]++
		if !c.ok() {
			f.add("minted_not_served", "key %s at %s got %s (ran %s) during a store outage", c.Key, c.Host, c.Code, c.Ran)
		}
	}
}

// duringOutage reports whether the call lies in an outage, after every host has
// noticed it.
func duringOutage(c call, windows []window) bool {
	return slices.ContainsFunc(windows, func(w window) bool {
		return w.Fault == "outage" && c.Start.After(w.From.Add(restrictedAfter)) && c.End.Before(w.To)
	})
}

// membershipTime is how long hosts of a place may disagree about a host that
// went or came back: detection after 3 s, and the lag and the period of the
// list.
const membershipTime = 6 * time.Second

// disturbed reports whether another fault than one of the store may have
// touched the call: one in its place, which takes slots and peers along.
func disturbed(c call, windows []window) bool {
	return slices.ContainsFunc(windows, func(w window) bool {
		store := w.Fault == "outage" || w.Fault == "slow" || w.Fault == "lose"
		return !store && (w.Place == "" || w.Place == c.Place) && c.End.After(w.From) && c.Start.Before(w.To.Add(membershipTime))
	})
}
