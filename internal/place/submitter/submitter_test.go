package submitter_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/standin/keeper"
)

const place = primrosespar.Place("burnie-a")

// fakeContracts is a contract source with one account, whose gang class accepts
// two jobs per second.
type fakeContracts struct{ current bool }

func (c fakeContracts) Current() bool { return c.current }

func (fakeContracts) View() (primrosespar.ContractView, time.Duration) {
	return primrosespar.ContractView{Revision: 1, Contracts: []primrosespar.VersionedContract{{
		Version: 3, Contract: primrosespar.Contract{
			Account: "alpha", MaxAccelerators: 128,
			Places:  []primrosespar.PlaceShare{{Place: place, Share: 1}},
			Classes: []primrosespar.ClassTerms{{Class: "allotment", Kind: primrosespar.KindGang, Idempotent: true, RatePerSecond: 2, Burst: 4, Deadline: time.Hour}},
		},
	}}}, 0
}

// newSubmitter returns a Submitter of one of two hosts. Its view of the
// contracts is outdated unless current.
func newSubmitter(faults keeper.Faults, current bool) (*submitter.Submitter, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	table := keeper.New(keeper.WithClock(clock), keeper.WithFaults(faults))
	return submitter.New(table, fakeContracts{current}, clock, submitter.WithHosts(func() int { return 2 })), clock
}

// job returns a job that the contract allows.
func job() primrosespar.Job {
	return primrosespar.Job{Account: "alpha", Class: "allotment", Place: place, Shape: primrosespar.Shape{Members: 2, Block: 8}}
}

// TestRepeatedSubmissionCreatesOneJob guards against a job that runs twice
// because the caller retried the submission.
func TestRepeatedSubmissionCreatesOneJob(t *testing.T) {
	s, clock := newSubmitter(keeper.Faults{}, true)
	first, code, err := s.Submit(context.Background(), job(), "key-1")
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeAccepted, code)
	clock.Advance(time.Second)
	repeated, code, err := s.Submit(context.Background(), job(), "key-1")
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeReplayed, code)
	require.Equal(t, first.Job.ID, repeated.Job.ID)
	other := job()
	other.Shape.Members = 3
	clock.Advance(time.Second)
	_, _, err = s.Submit(context.Background(), other, "key-1")
	require.Equal(t, primrosespar.CodeKeyReused, primrosespar.CodeOf(err))
}

// TestLostResponseIsResolved guards against an error for a job that was stored
// but whose response from the table was lost.
func TestLostResponseIsResolved(t *testing.T) {
	s, _ := newSubmitter(keeper.Faults{LoseEvery: 1}, true)
	_, code, err := s.Submit(context.Background(), job(), "key-1")
	require.NoError(t, err)
	require.Equal(t, primrosespar.CodeAccepted, code)
}

// TestHostLimitsRate guards against an account that exceeds its rate in the
// place: two hosts share 2 jobs per second and a burst of 4.
func TestHostLimitsRate(t *testing.T) {
	s, clock := newSubmitter(keeper.Faults{}, true)
	accepted := func() int {
		n := 0
		for range 10 {
			if _, _, err := s.Submit(context.Background(), job(), ""); err == nil {
				n++
			} else {
				require.Equal(t, primrosespar.CodeRateLimited, primrosespar.CodeOf(err))
			}
		}
		return n
	}
	require.Equal(t, 2, accepted())
	clock.Advance(time.Second)
	require.Equal(t, 1, accepted())
}

// TestRestrictedPlaceRefusesJobs guards against a job that is accepted under an
// outdated contract.
func TestRestrictedPlaceRefusesJobs(t *testing.T) {
	s, _ := newSubmitter(keeper.Faults{}, false)
	_, _, err := s.Submit(context.Background(), job(), "")
	require.Equal(t, primrosespar.CodeRestricted, primrosespar.CodeOf(err))
}
