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

// violations are broken promises with one line each.
type violations struct {
	counts map[string]int
	lines  []string
}

// maxLinesPerKind bounds the lines of one promise; all are counted.
const maxLinesPerKind = 5

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

// operation is the input of one operation on a key: a call with what it
// returned, or a run that a service runner counted.
type operation struct {
	isRun     bool
	runNumber string
	call      call
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

// upstreamAnswer is the body that a service runner sends.
type upstreamAnswer struct {
	Digest string `json:"digest"`
	Number string `json:"number"`
}

func runNumberOf(body string) string {
	var a upstreamAnswer
	_ = json.Unmarshal([]byte(body), &a)
	return a.Number
}

// checkTimeout bounds the search for one key's order of operations; it is a
// finding if it does not suffice.
const checkTimeout = 10 * time.Second

// checkCalls judges every key by the runs that the service runners counted.
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

// checkKey judges one key.
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
		v.add("answer_without_run", "key %s has an answer and did not run", k.key)
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

// checkAnswer checks that the answer of an upstream is that of this request.
func checkAnswer(v *violations, c call) {
	if c.Answer == "" && !c.answered() {
		return
	}
	var a upstreamAnswer
	if json.Unmarshal([]byte(c.Answer), &a) != nil || a.Digest != servicer.Digest(c.Account, c.Class, c.Key, requestBody(c.Key)) {
		v.add("wrong_answer", "key %s got %q with status %d", c.Key, c.Answer, c.Status)
	}
}

// checkLinearizability looks for an order of the operations that explains all answers.
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
		v.add("not_judged", "key %s has too many calls to judge in %s", k.key, checkTimeout)
	default:
		v.add("impossible_history", "key %s: %s", k.key, describeOperations(ops))
	}
}

// describeOperations lists the operations of a key in the order of their start.
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

// restrictedAfter is when every host knows that the store is away: its view of
// the contracts is valid for 3 s after the last poll.
const restrictedAfter = 3 * time.Second

// checkMinted checks that calls with minted keys go on being served while the
// store is away: a first call at a host that no other fault touches must bring
// its answer.
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

// duringOutage reports whether the call lies in an outage, after every host has
// noticed it.
func duringOutage(c call, windows []faultWindow) bool {
	return slices.ContainsFunc(windows, func(w faultWindow) bool {
		return w.Fault == "outage" && c.Start.After(w.From.Add(restrictedAfter)) && c.End.Before(w.To)
	})
}

// membershipSettleTime is how long hosts of a place may disagree about a host that
// went or came back: detection after 3 s, and the lag and the period of the
// list.
const membershipSettleTime = 6 * time.Second

// affectedByOtherFault reports whether another fault than one of the store may have
// touched the call: one in its place, which takes slots and peers along.
func affectedByOtherFault(c call, windows []faultWindow) bool {
	return slices.ContainsFunc(windows, func(w faultWindow) bool {
		storeFault := w.Fault == "outage" || w.Fault == "slow" || w.Fault == "lose"
		return !storeFault && (w.Place == "" || w.Place == c.Place) && c.End.After(w.From) && c.Start.Before(w.To.Add(membershipSettleTime))
	})
}
