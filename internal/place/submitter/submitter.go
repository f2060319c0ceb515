// Package submitter accepts, shows and cancels gang jobs at any host of any
// place.
//
// A job is accepted once its row is in the table. The same transaction writes a
// message to the inbox that the holder of the place lease scans; the caller may
// also notify the holder. The ID of a job that is submitted with a key is
// derived from the key, so a repeated submission finds the first one.
//
// # Usage
//
//	s := submitter.New(table, contracts, clock, submitter.WithCheck(fits))
//	g, code, err := s.Submit(ctx, job, key)
//	g, err = s.Show(ctx, g.Job.ID)
//	err = s.Cancel(ctx, g.Job.ID)
package submitter

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
)

// Limits of a submitted job and of its ID.
const (
	maxMembers        = 512
	maxBlock          = 512
	defaultMaxPayload = 64 << 10
	// pageSize is the number of rows that one scan reads.
	pageSize = 500
	// idBytes is the length of a job ID's suffix before it is encoded.
	idBytes = 12
)

// Submitter creates and reads job rows. It is safe for concurrent use.
type Submitter struct {
	table     primrosespar.Table
	contracts primrosespar.ContractSource
	clock     primrosespar.Clock
	options   Options
	limiter   *rateLimiter
}

// New returns a Submitter.
func New(table primrosespar.Table, contracts primrosespar.ContractSource, clock primrosespar.Clock, opts ...Option) *Submitter {
	o := newOptions(opts)
	return &Submitter{table: table, contracts: contracts, clock: clock, options: o, limiter: newRateLimiter(clock, o.Hosts)}
}

// Submit checks the job against its contract and stores it. A submission that
// repeats a key returns the first job and CodeReplayed.
func (s *Submitter) Submit(ctx context.Context, job primrosespar.Job, key string) (primrosespar.Gang, primrosespar.Code, error) {
	job, err := s.applyContract(job)
	if err != nil {
		return primrosespar.Gang{}, 0, err
	}
	job.ID = s.newJobID(job, key)
	gang := primrosespar.Gang{Job: job, State: primrosespar.GangQueued, Reason: primrosespar.CodeWaiting}
	value, err := json.Marshal(gang)
	if err != nil {
		return gang, 0, eris.Wrap(err, "encode job")
	}
	rowKey := primrosespar.GangKey(job.Place, job.ID)
	_, err = s.table.Commit(ctx, primrosespar.Txn{
		Conditions: []primrosespar.Condition{{Key: rowKey}},
		Writes: []primrosespar.Write{
			{Key: rowKey, Value: value},
			{Key: primrosespar.InboxSubmitKey(job.Place, job.ID)},
		},
	})
	switch primrosespar.CodeOf(err) {
	case primrosespar.CodeOK:
		return gang, primrosespar.CodeAccepted, nil
	case primrosespar.CodeConflict, primrosespar.CodeStoreUnknown:
		return s.resolveSubmission(ctx, gang)
	default:
		return gang, 0, err
	}
}

// resolveSubmission returns the outcome of a submission whose row already
// exists or whose response was lost. The time of submission tells a job that
// this call stored from one that an earlier call stored.
func (s *Submitter) resolveSubmission(ctx context.Context, submitted primrosespar.Gang) (primrosespar.Gang, primrosespar.Code, error) {
	stored, err := s.Show(ctx, submitted.Job.ID)
	if primrosespar.CodeOf(err) == primrosespar.CodeNotFound {
		return submitted, 0, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the store did not answer; submit again with the same key")
	}
	if err != nil {
		return submitted, 0, primrosespar.FailUnknown(primrosespar.CodeStoreUnknown, "the store did not answer; submit again with the same key").WithCause(err)
	}
	if !sameJob(stored.Job, submitted.Job) {
		return stored, 0, primrosespar.Fail(primrosespar.CodeKeyReused, "the key was already used for job %s with different parameters", stored.Job.ID)
	}
	if stored.Job.Submitted.Equal(submitted.Job.Submitted) {
		return stored, primrosespar.CodeAccepted, nil
	}
	return stored, primrosespar.CodeReplayed, nil
}

// sameJob reports whether the jobs agree in what identifies a submission:
// account, class, shape, claim and payload.
func sameJob(a, b primrosespar.Job) bool {
	return a.Account == b.Account && a.Class == b.Class && a.Shape == b.Shape &&
		a.Claim == b.Claim && string(a.Payload) == string(b.Payload)
}

// Show returns one job.
func (s *Submitter) Show(ctx context.Context, id primrosespar.JobID) (primrosespar.Gang, error) {
	place, ok := PlaceOf(id)
	if !ok {
		return primrosespar.Gang{}, primrosespar.Fail(primrosespar.CodeNotFound, "job %q does not exist", id)
	}
	rows, err := s.table.Get(ctx, primrosespar.GangKey(place, id))
	if err != nil {
		return primrosespar.Gang{}, err
	}
	if rows[0].Version == 0 {
		return primrosespar.Gang{}, primrosespar.Fail(primrosespar.CodeNotFound, "job %q does not exist", id)
	}
	var g primrosespar.Gang
	if err := json.Unmarshal(rows[0].Value, &g); err != nil {
		return primrosespar.Gang{}, eris.Wrap(err, "decode job")
	}
	return g, nil
}

// List returns the jobs of an account in a place in the order of their IDs. An
// empty account stands for all accounts. A row that cannot be decoded is left
// out; the controller reports it.
func (s *Submitter) List(ctx context.Context, place primrosespar.Place, account primrosespar.Account) ([]primrosespar.Gang, error) {
	var jobs []primrosespar.Gang
	after := ""
	for {
		rows, err := s.table.Scan(ctx, primrosespar.GangPrefix(place), after, pageSize)
		if err != nil {
			return nil, err
		}
		if len(rows) == 0 {
			return jobs, nil
		}
		for _, row := range rows {
			after = row.Key
			var g primrosespar.Gang
			if err := json.Unmarshal(row.Value, &g); err != nil {
				continue
			}
			if account == "" || g.Job.Account == account {
				jobs = append(jobs, g)
			}
		}
	}
}

// Cancel asks the lease holder to end the job. It is idempotent.
func (s *Submitter) Cancel(ctx context.Context, id primrosespar.JobID) error {
	g, err := s.Show(ctx, id)
	if err != nil {
		return err
	}
	if g.State.Ended() {
		return nil
	}
	_, err = s.table.Commit(ctx, primrosespar.Txn{
		Writes: []primrosespar.Write{{Key: primrosespar.InboxCancelKey(g.Job.Place, id)}},
	})
	return err
}

// PlaceOf returns the place in a job ID; it reports false for an ID that Submit
// cannot have created.
func PlaceOf(id primrosespar.JobID) (primrosespar.Place, bool) {
	place, suffix, ok := strings.Cut(string(id), ".")
	return primrosespar.Place(place), ok && place != "" && isIDSuffix(suffix)
}

// isIDSuffix reports whether the suffix has the form that Submit gives to the
// part of an ID after the place.
func isIDSuffix(suffix string) bool {
	decoded, err := hex.DecodeString(suffix)
	return err == nil && len(decoded) == idBytes
}

// newJobID returns an ID that is derived from the account and the key, or a
// random one without a key.
func (s *Submitter) newJobID(job primrosespar.Job, key string) primrosespar.JobID {
	suffix := s.options.Random(idBytes)
	if key != "" {
		digest := sha256.Sum256([]byte(string(job.Account) + "\x00" + key))
		suffix = digest[:idBytes]
	}
	return primrosespar.JobID(string(job.Place) + "." + hex.EncodeToString(suffix))
}
