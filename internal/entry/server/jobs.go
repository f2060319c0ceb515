package server

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
)

// jobRequest is the body of a submission; durations are strings like "2h".
type jobRequest struct {
	Class       primrosespar.Class `json:"class"`
	Place       primrosespar.Place `json:"place"`
	Members     int                `json:"members"`
	Block       int                `json:"block"`
	OneRack     bool               `json:"one_rack"`
	Cores       int                `json:"cores"`
	MemoryBytes int64              `json:"memory_bytes"`
	Claim       bool               `json:"claim"`
	Declared    string             `json:"declared"`
	Deadline    string             `json:"deadline"`
	Work        json.RawMessage    `json:"work"`
}

// submitJob stores a job.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id authorizer.Identity) error {
	account, err := s.account(r, id)
	if err != nil {
		return err
	}
	if s.draining.Load() {
		return primrosespar.Fail(primrosespar.CodeDraining, "the host is shutting down")
	}
	var body jobRequest
	if err := readJSON(r, &body); err != nil {
		return err
	}
	job, err := s.job(account, body)
	if err != nil {
		return err
	}
	key := r.Header.Get("X-Request-Key")
	if len(key) > maxKeyBytes || !printable(key) {
		return badKey()
	}
	gang, code, err := s.parts.Jobs.Submit(r.Context(), job, key)
	if err != nil {
		return err
	}
	s.parts.Notify(gang.Job.Place, gang.Job.ID)
	writeJSON(w, code.Info().HTTP, s.jobAnswer(gang, code))
	return nil
}

// job turns the body into a job.
func (s *Server) job(account primrosespar.Account, body jobRequest) (primrosespar.Job, error) {
	job := primrosespar.Job{
		Account: account,
		Class:   body.Class,
		Place:   body.Place,
		Shape: primrosespar.Shape{
			Members: body.Members, Block: body.Block, OneRack: body.OneRack,
			Cores: body.Cores, MemoryBytes: body.MemoryBytes,
		},
		Claim: body.Claim,
		Work:  body.Work,
	}
	if job.Place == "" {
		job.Place = s.parts.Place
	}
	var err error
	if job.Declared, err = duration("declared", body.Declared); err != nil {
		return job, err
	}
	job.Deadline, err = duration("deadline", body.Deadline)
	return job, err
}

// duration reads an optional duration.
func duration(field, value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(value)
	if err != nil || d < 0 {
		return 0, primrosespar.Fail(primrosespar.CodeOutOfRange, "%s is %q, it must be a duration like \"90m\" and not negative", field, value)
	}
	return d, nil
}

// listJobs lists the account's jobs in a place; an operator sees all.
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id authorizer.Identity) error {
	account := id.Account
	if id.Role == authorizer.RoleOperator {
		account = primrosespar.Account(r.URL.Query().Get("account"))
	}
	place := primrosespar.Place(r.URL.Query().Get("place"))
	if place == "" {
		place = s.parts.Place
	}
	gangs, err := s.parts.Jobs.List(r.Context(), place, account)
	if err != nil {
		return err
	}
	answers := make([]jobAnswer, 0, len(gangs))
	for _, g := range gangs {
		answers = append(answers, s.jobAnswer(g, g.Reason))
	}
	writeJSON(w, http.StatusOK, struct {
		Jobs []jobAnswer `json:"jobs"`
	}{answers})
	return nil
}

// showJob shows one job.
func (s *Server) showJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, id authorizer.Identity) error {
	gang, err := s.ownJob(r, p, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, s.jobAnswer(gang, gang.Reason))
	return nil
}

// cancelJob asks for the end of a job.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, id authorizer.Identity) error {
	gang, err := s.ownJob(r, p, id)
	if err != nil {
		return err
	}
	if err := s.parts.Jobs.Cancel(r.Context(), gang.Job.ID); err != nil {
		return err
	}
	s.parts.Notify(gang.Job.Place, gang.Job.ID)
	writeJSON(w, http.StatusAccepted, s.jobAnswer(gang, primrosespar.CodeAccepted))
	return nil
}

// ownJob reads a job that the identity may see. A job of another account is
// answered like one that does not exist.
func (s *Server) ownJob(r *http.Request, p httprouter.Params, id authorizer.Identity) (primrosespar.Gang, error) {
	name := primrosespar.JobID(p.ByName("id"))
	gang, err := s.parts.Jobs.Show(r.Context(), name)
	if err != nil {
		return gang, err
	}
	if id.MayUse(gang.Job.Account) != nil {
		return gang, primrosespar.Fail(primrosespar.CodeNotFound, "job %q does not exist", name)
	}
	return gang, nil
}

// account returns the account that the request is for.
func (s *Server) account(r *http.Request, id authorizer.Identity) (primrosespar.Account, error) {
	account := primrosespar.Account(r.Header.Get("X-Account"))
	if account == "" {
		account = id.Account
	}
	return account, id.MayUse(account)
}

// jobAnswer is a job as callers see it.
type jobAnswer struct {
	ID          primrosespar.JobID     `json:"id"`
	Account     primrosespar.Account   `json:"account"`
	Class       primrosespar.Class     `json:"class"`
	Place       primrosespar.Place     `json:"place"`
	State       primrosespar.GangState `json:"state"`
	Reason      string                 `json:"reason"`
	Shape       primrosespar.Shape     `json:"shape"`
	Claim       bool                   `json:"claim"`
	Borrowed    bool                   `json:"borrowed"`
	Attempt     uint64                 `json:"attempt"`
	Preemptions int                    `json:"preemptions"`
	Submitted   time.Time              `json:"submitted"`
}

func (s *Server) jobAnswer(g primrosespar.Gang, code primrosespar.Code) jobAnswer {
	return jobAnswer{
		ID: g.Job.ID, Account: g.Job.Account, Class: g.Job.Class, Place: g.Job.Place,
		State: g.State, Reason: code.String(), Shape: g.Job.Shape, Claim: g.Job.Claim,
		Borrowed: g.Borrowed, Attempt: g.Attempt, Preemptions: g.Preemptions, Submitted: g.Job.Submitted,
	}
}
