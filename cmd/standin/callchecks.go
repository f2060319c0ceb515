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

// violations collects violated guarantees.
type violations struct {
	// counts has the number of violations by kind.
	counts map[string]int
	// lines describe the first violations of each kind.
	lines []string
}

// maxLinesPerKind limits how many violations of one kind are described; all are
// counted.
const maxLinesPerKind = 5

// add counts a violation and describes it.
func (v *violations) add(kind, format string, args ...any) {
	if v.counts == nil {
		v.counts = map[string]int{}
	}
	v.counts[kind]++
	if v.counts[kind] <= maxLinesPerKind {
		v.lines = append(v.lines, kind+": "+fmt.Sprintf(format, args...))
	}
}

// accountKey identifies a key of an account.
type accountKey struct {
	account primrosespar.Account
	key     string
}

// operation is the input of one operation on a key: a call with its response,
// or a run that an upstream recorded. Operations have no output: the response
// is part of the input, because the model only decides whether a history is
// possible.
type operation struct {
	isRun     bool
	runNumber string
	call      call
}

// keyModel models one key of a non-idempotent class. Its state is the number of
// the run, or empty while the key has not run. A run needs the empty state. An
// answer must be that of the run, also if it is replayed, and a refusal as not
// run is possible only in the empty state, whatever calls preceded it. Calls
// with an unknown outcome do not depend on the state and are left out.
func keyModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			runNumber, _ := state.(string)
			op, _ := input.(operation)
			switch {
			case op.isRun:
				return runNumber == "", op.runNumber
			case op.call.answered():
				return runNumber != "" && runNumberOf(op.call.Answer) == runNumber, state
			default:
				return runNumber == "", state
			}
		},
	}
}

// upstreamAnswer is the body of an upstream's answer.
type upstreamAnswer struct {
	Digest string `json:"digest"`
	Number string `json:"number"`
}

// runNumberOf returns the run number in an upstream's answer, or an empty
// string.
func runNumberOf(body string) string {
	var a upstreamAnswer
	_ = json.Unmarshal([]byte(body), &a)
	return a.Number
}

// checkTimeout limits the search for an order of one key's operations. A key
// that needs longer is reported as not judged.
const checkTimeout = 10 * time.Second

// checkCalls checks the calls of every key against the runs that the upstreams
// recorded.
func checkCalls(v *violations, calls []call, runs []servicer.Execution) {
	byKey := map[accountKey][]operation{}
	var keys []accountKey
	add := func(k accountKey, op operation) {
		if byKey[k] == nil {
			keys = append(keys, k)
		}
		byKey[k] = append(byKey[k], op)
	}
	for _, c := range calls {
		add(accountKey{c.Account, c.Key}, operation{call: c})
	}
	for _, run := range runs {
		add(accountKey{run.Account, run.Key}, operation{isRun: true, runNumber: run.Number, call: call{Start: run.At, End: run.At}})
	}
	for _, k := range keys {
		checkKey(v, k, byKey[k])
	}
}

// checkKey checks the operations of one key: an answer needs a run, and a run
// excludes that all calls were refused as not run. A key of a non-idempotent
// class runs at most once and always has the same answer.
func checkKey(v *violations, k accountKey, ops []operation) {
	runCount := 0
	var answers []string
	allRefused, nonIdempotent := true, false
	for _, op := range ops {
		if op.isRun {
			runCount++
			continue
		}
		nonIdempotent = nonIdempotent || op.call.NonIdempotent
		allRefused = allRefused && op.call.notRun()
		checkAnswer(v, op.call)
		if op.call.answered() {
			answers = append(answers, op.call.Answer)
		}
	}
	if len(answers) > 0 && runCount == 0 {
		v.add("answer_without_run", "key %s was answered and did not run", k.key)
	}
	if allRefused && runCount > 0 {
		v.add("false_refusal", "every call of key %s was refused as not run and it ran %d times", k.key, runCount)
	}
	if !nonIdempotent {
		return
	}
	if runCount > 1 {
		v.add("ran_twice", "key %s ran %d times", k.key, runCount)
	}
	if len(slices.Compact(slices.Clone(answers))) > 1 {
		v.add("replay_differs", "key %s has answers %q", k.key, answers)
	}
	checkLinearizability(v, k, ops)
}

// checkAnswer checks that an answer is complete and belongs to this request.
func checkAnswer(v *violations, c call) {
	if c.Answer == "" && !c.answered() {
		return
	}
	var a upstreamAnswer
	if json.Unmarshal([]byte(c.Answer), &a) != nil || a.Digest != servicer.Digest(c.Account, c.Class, c.Key, requestBody(c.Key)) {
		v.add("wrong_answer", "key %s got %q with status %d", c.Key, c.Answer, c.Status)
	}
}

// checkLinearizability checks that the operations of a key have an order that
// explains all responses.
func checkLinearizability(v *violations, k accountKey, ops []operation) {
	var history []porcupine.Operation
	for i, op := range ops {
		if op.isRun || op.call.answered() || op.call.notRun() {
			history = append(history, porcupine.Operation{
				ClientId: i, Input: op, Call: op.call.Start.UnixNano(), Return: op.call.End.UnixNano(),
			})
		}
	}
	switch porcupine.CheckOperationsTimeout(keyModel(), history, checkTimeout) {
	case porcupine.Ok:
	case porcupine.Unknown:
		v.add("not_judged", "key %s has too many calls to check within %s", k.key, checkTimeout)
	default:
		v.add("impossible_history", "key %s: %s", k.key, describeOperations(ops))
	}
}

// describeOperations lists the operations of a key in the order of their start
// times.
func describeOperations(ops []operation) string {
	ops = slices.Clone(ops)
	slices.SortFunc(ops, func(a, b operation) int { return a.call.Start.Compare(b.call.Start) })
	const timeLayout = "05.000"
	text := ""
	for _, op := range ops {
		if op.isRun {
			text += fmt.Sprintf("[ran %s at %s]", op.runNumber, op.call.Start.Format(timeLayout))
			continue
		}
		c := op.call
		text += fmt.Sprintf("[%s-%s %s first=%t %d %s ran=%s %s]", c.Start.Format(timeLayout), c.End.Format(timeLayout),
			c.Host, c.FirstAttempt, c.Status, c.Code, c.Ran, runNumberOf(c.Answer))
	}
	return text
}

// restrictedAfter is the time after which every host has noticed a store
// outage: its view of the contracts is valid for 3 s after the last poll.
const restrictedAfter = 3 * time.Second

// checkMinted checks that calls with minted keys are answered during a store
// outage, unless another fault may affect them.
func checkMinted(v *violations, observed map[string]int, calls []call, windows []faultWindow) {
	for _, c := range calls {
		if !c.Minted || c.Place == "" || !duringOutage(c, windows) || affectedByOtherFault(c, windows) {
			continue
		}
		observed["minted_in_outage"]++
		if !c.answered() {
			v.add("minted_not_served", "key %s at %s got %s (ran %s) during a store outage", c.Key, c.Host, c.Code, c.Ran)
		}
	}
}

// duringOutage reports whether the whole call was within an outage that every
// host had noticed.
func duringOutage(c call, windows []faultWindow) bool {
	return slices.ContainsFunc(windows, func(w faultWindow) bool {
		return w.Fault == "outage" && c.Start.After(w.From.Add(restrictedAfter)) && c.End.Before(w.To)
	})
}

// membershipSettleTime is how long the hosts of a place may disagree about a
// host that left or came back: detection takes 3 s, and the rest is for the
// host list. It lags 1 s; a host reads it at its start and then every 5 s.
const membershipSettleTime = 6 * time.Second

// affectedByOtherFault reports whether a fault other than one of the store may
// have affected the call: one in its place, since it also takes away slots and
// peers.
func affectedByOtherFault(c call, windows []faultWindow) bool {
	return slices.ContainsFunc(windows, func(w faultWindow) bool {
		storeFault := w.Fault == "outage" || w.Fault == "slow" || w.Fault == "lose"
		return !storeFault && (w.Place == "" || w.Place == c.Place) && c.End.After(w.From) && c.Start.Before(w.To.Add(membershipSettleTime))
	})
}
