package server

import (
	"encoding/base64"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// submitJob stores a job.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params, id authorizer.Identity) error {
	if s.draining.Load() {
		return primrosespar.Fail(primrosespar.CodeDraining, "the host is shutting down")
	}
	body, err := readJob(r)
	if err != nil {
		return err
	}
	if body.Account == "" {
		body.Account = primrosespar.Account(r.Header.Get(caller.HeaderAccount))
	}
	if body.Account == "" {
		body.Account = id.Account
	}
	if err := id.MayUse(body.Account); err != nil {
		return err
	}
	key := r.Header.Get("X-Request-Key")
	if len(key) > maxKeyBytes || !printable(key) {
		return badKey()
	}
	gang, code, err := s.parts.Jobs.Submit(r.Context(), s.job(body), key)
	if err != nil {
		return err
	}
	s.parts.Notify(gang.Job.Place, gang.Job.ID)
	writeJSON(w, code.Info().HTTP, jobAnswer(gang, code))
	return nil
}

// readJob reads the body of a submission. Durations and the payload are read
// from text here, so that a refusal names their field.
func readJob(r *http.Request) (caller.JobRequest, error) {
	var text struct {
		Account  primrosespar.Account `json:"account"`
		Class    primrosespar.Class   `json:"class"`
		Place    primrosespar.Place   `json:"place"`
		Shape    primrosespar.Shape   `json:"shape"`
		Claim    bool                 `json:"claim"`
		Declared *string              `json:"declared"`
		Deadline *string              `json:"deadline"`
		Work     *string              `json:"work"`
	}
	if err := readJSON(r, &text); err != nil {
		return caller.JobRequest{}, err
	}
	body := caller.JobRequest{
		Account: text.Account, Class: text.Class, Place: text.Place, Shape: text.Shape,
		Claim: text.Claim,
	}
	for _, span := range []struct {
		field string
		text  *string
		into  *caller.Duration
	}{{"declared", text.Declared, &body.Declared}, {"deadline", text.Deadline, &body.Deadline}} {
		if span.text == nil {
			continue
		}
		if err := span.into.UnmarshalText([]byte(*span.text)); err != nil {
			return body, primrosespar.Fail(primrosespar.CodeBadRequest,
				"field %q is %q, it must be a duration such as \"1h30m\"", span.field, *span.text)
		}
	}
	if text.Work != nil {
		work, err := base64.StdEncoding.DecodeString(*text.Work)
		if err != nil {
			return body, primrosespar.Fail(primrosespar.CodeBadRequest, "field \"work\" is not base64: %s", err.Error())
		}
		body.Work = work
	}
	return body, nil
}

// job turns the body into a job; without a place it is for this one.
func (s *Server) job(body caller.JobRequest) primrosespar.Job {
	job := primrosespar.Job{
		Account: body.Account, Class: body.Class, Place: body.Place, Shape: body.Shape,
		Claim: body.Claim, Declared: time.Duration(body.Declared),
		Deadline: time.Duration(body.Deadline), Work: body.Work,
	}
	if job.Place == "" {
		job.Place = s.parts.Place
	}
	return job
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
	if !slices.Contains(s.parts.Places, place) {
		return primrosespar.Fail(primrosespar.CodeNotFound, "place %q does not exist; the places are %s", place, names(s.parts.Places))
	}
	gangs, err := s.parts.Jobs.List(r.Context(), place, account)
	if err != nil {
		return err
	}
	answers := make([]caller.JobAnswer, 0, len(gangs))
	for _, g := range gangs {
		answers = append(answers, jobAnswer(g, g.Reason))
	}
	writeJSON(w, http.StatusOK, caller.JobsAnswer{Jobs: answers})
	return nil
}

// names lists places for a message.
func names(places []primrosespar.Place) string {
	list := make([]string, len(places))
	for i, place := range places {
		list[i] = string(place)
	}
	return strings.Join(list, ", ")
}

// showJob shows one job.
func (s *Server) showJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, id authorizer.Identity) error {
	gang, err := s.ownJob(r, p, id)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, jobAnswer(gang, gang.Reason))
	return nil
}

// cancelJob asks for the end of a job.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, id authorizer.Identity) error {
	gang, err := s.ownJob(r, p, id)
	if err != nil {
		return err
	}
	if gang.State.Ended() {
		writeJSON(w, http.StatusOK, jobAnswer(gang, gang.Reason))
		return nil
	}
	if err := s.parts.Jobs.Cancel(r.Context(), gang.Job.ID); err != nil {
		return err
	}
	s.parts.Notify(gang.Job.Place, gang.Job.ID)
	writeJSON(w, http.StatusAccepted, jobAnswer(gang, primrosespar.CodeAccepted))
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
func jobAnswer(g primrosespar.Gang, code primrosespar.Code) caller.JobAnswer {
	return caller.JobAnswer{
		ID: g.Job.ID, Account: g.Job.Account, Class: g.Job.Class, Place: g.Job.Place,
		Shape: g.Job.Shape, State: g.State, Reason: code, Attempt: g.Attempt,
		Borrowed: g.Borrowed, Claim: g.Job.Claim, Preemptions: g.Preemptions,
		Submitted: g.Job.Submitted, Slices: g.Slices,
	}
}
