package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/request/admitter"
	"primrosespar.example/primrosespar/internal/request/balancer"
)

// BenchmarkAdmitAndPick measures one cycle of Offer, Next, Pick, Release and
// Done.
func BenchmarkAdmitAndPick(b *testing.B) {
	for _, accounts := range []int{4, 220} {
		for _, upstreams := range []int{17, 170} {
			b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", accounts, upstreams), func(b *testing.B) { benchmarkAdmitAndPick(b, accounts, upstreams) })
		}
	}
}

func benchmarkAdmitAndPick(b *testing.B, accounts, upstreams int) {
	now := time.Unix(1000, 0)
	view, _ := contractSource{}.View()
	template, names := view.Contracts[0], make([]primrosespar.Account, accounts)
	view.Contracts = nil
	for i := range names {
		names[i] = primrosespar.Account(fmt.Sprintf("a%d", i))
		template.Contract.Account = names[i]
		view.Contracts = append(view.Contracts, template)
	}
	a := admitter.New("p")
	a.SetContracts(view, now)
	a.SetCurrent(true, now)
	bal := balancer.New(balancer.WithRandom(rand.New(rand.NewPCG(1, 2)).IntN))
	var entries []primrosespar.UpstreamEntry
	for i := range upstreams {
		entries = append(entries, primrosespar.UpstreamEntry{Upstream: primrosespar.Upstream(fmt.Sprintf("u%d", i)), Slots: 8})
	}
	bal.SetUpstreams(entries, now)
	for _, e := range entries {
		bal.SetSlots(e.Upstream, 8, now)
	}
	// Ten calls of each account keep waiting, so that every queue is a
	// candidate.
	for range 10 {
		for _, name := range names {
			_, _, _ = a.Offer(admitter.Request{Account: name, Class: "c", Deadline: now.Add(time.Hour)}, now)
		}
	}
	outcome := primrosespar.AttemptOutcome{Code: primrosespar.CodeOK, Sent: true, Latency: time.Millisecond}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Microsecond)
		if _, _, err := a.Offer(admitter.Request{Account: names[i%accounts], Class: "c", Deadline: now.Add(time.Hour)}, now); err != nil {
			b.Fatal(err)
		}
		ticket, _ := a.Next(now)
		target, ok := bal.Pick(nil, now)
		if ticket == nil || !ok {
			b.Fatal("nothing to start")
		}
		a.Release(ticket, time.Millisecond, true, now)
		bal.Done(target.Upstream, outcome, now)
	}
}
