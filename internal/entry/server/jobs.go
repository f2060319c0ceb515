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

// submitJob stores a job and notifies the holder of the place lease.
func (s *Server) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params, identity authorizer.Identity) error {
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
		body.Account = identity.Account
	}
	if err := identity.MayUse(body.Account); err != nil {
		return err
	}
	key := r.Header.Get("X-Request-Key")
	if len(key) > maxKeyBytes || !isPrintable(key) {
		return invalidKeyError()
	}
	gang, code, err := s.parts.Jobs.Submit(r.Context(), s.newJob(body), key)
	if err != nil {
		return err
	}
	s.parts.Notify(gang.Job.Place, gang.Job.ID)
	writeJSON(w, code.Info().HTTP, newJobAnswer(gang, code))
	return nil
}

// readJob reads the body of a submission. It decodes durations and the payload
// itself, so that a refusal names their field.
func readJob(r *http.Request) (caller.JobRequest, error) {
	var text struct {
		Account  primrosespar.Account `json:"account"`
		Class    primrosespar.Class   `json:"class"`
		Place    primrosespar.Place   `json:"place"`
		Shape    primrosespar.Shape   `json:"shape"`
		Claim    bool                 `json:"claim"`
		Declared *string              `json:"declared"`
		Deadline *string              `json:"deadline"`
		Payload  *string              `json:"work"`
	}
	if err := readJSON(r, &text); err != nil {
		return caller.JobRequest{}, err
	}
	body := caller.JobRequest{
		Account: text.Account, Class: text.Class, Place: text.Place, Shape: text.Shape,
		Claim: text.Claim,
	}
	for _, duration := range []struct {
		field  string
		text   *string
		target *caller.Duration
	}{{"declared", text.Declared, &body.Declared}, {"deadline", text.Deadline, &body.Deadline}} {
		if duration.text == nil {
			continue
		}
		if err := duration.target.UnmarshalText([]byte(*duration.text)); err != nil {
			return body, primrosespar.Fail(primrosespar.CodeBadRequest,
				"field %q is %q, it must be a duration such as \"1h30m\"", duration.field, *duration.text)
		}
	}
	if text.Payload != nil {
		payload, err := base64.StdEncoding.DecodeString(*text.Payload)
		if err != nil {
			return body, primrosespar.Fail(primrosespar.CodeBadRequest, "field \"work\" is not base64: %s", err.Error())
		}
		body.Payload = payload
	}
	return body, nil
}

// newJob returns the job of a submission. The default place is that of this
// host.
func (s *Server) newJob(body caller.JobRequest) primrosespar.Job {
	job := primrosespar.Job{
		Account: body.Account, Class: body.Class, Place: body.Place, Shape: body.Shape,
		Claim: body.Claim, Declared: time.Duration(body.Declared),
		Deadline: time.Duration(body.Deadline), Payload: body.Payload,
	}
	if job.Place == "" {
		job.Place = s.parts.Place
	}
	return job
}

// listJobs responds with the account's jobs in a place. Operators may list
// those of any account or of all.
func (s *Server) listJobs(w http.ResponseWriter, r *http.Request, _ httprouter.Params, identity authorizer.Identity) error {
	account := identity.Account
	if identity.Role == authorizer.RoleOperator {
		account = primrosespar.Account(r.URL.Query().Get("account"))
	}
	place := primrosespar.Place(r.URL.Query().Get("place"))
	if place == "" {
		place = s.parts.Place
	}
	if !slices.Contains(s.parts.Places, place) {
		return primrosespar.Fail(primrosespar.CodeNotFound, "place %q does not exist; the places are %s", place, joinPlaces(s.parts.Places))
	}
	gangs, err := s.parts.Jobs.List(r.Context(), place, account)
	if err != nil {
		return err
	}
	answers := make([]caller.JobAnswer, 0, len(gangs))
	for _, gang := range gangs {
		answers = append(answers, newJobAnswer(gang, gang.Reason))
	}
	writeJSON(w, http.StatusOK, caller.JobsAnswer{Jobs: answers})
	return nil
}

// joinPlaces returns the names of the places, separated by commas.
func joinPlaces(places []primrosespar.Place) string {
	names := make([]string, len(places))
	for i, place := range places {
		names[i] = string(place)
	}
	return strings.Join(names, ", ")
}

// showJob responds with one job.
func (s *Server) showJob(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	gang, err := s.visibleJob(r, params, identity)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, newJobAnswer(gang, gang.Reason))
	return nil
}

// cancelJob requests the cancellation of a job. A job that has ended stays as
// it is.
func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	gang, err := s.visibleJob(r, params, identity)
	if err != nil {
		return err
	}
	if gang.State.Ended() {
		writeJSON(w, http.StatusOK, newJobAnswer(gang, gang.Reason))
		return nil
	}
	if err := s.parts.Jobs.Cancel(r.Context(), gang.Job.ID); err != nil {
		return err
	}
	s.parts.Notify(gang.Job.Place, gang.Job.ID)
	writeJSON(w, http.StatusAccepted, newJobAnswer(gang, primrosespar.CodeAccepted))
	return nil
}

// visibleJob reads a job that the identity may see. A job of another account is
// refused like one that does not exist, so that callers cannot find out which
// ids are in use.
func (s *Server) visibleJob(r *http.Request, params httprouter.Params, identity authorizer.Identity) (primrosespar.Gang, error) {
	jobID := primrosespar.JobID(params.ByName("id"))
	gang, err := s.parts.Jobs.Show(r.Context(), jobID)
	if err != nil {
		return gang, err
	}
	if identity.MayUse(gang.Job.Account) != nil {
		return gang, primrosespar.Fail(primrosespar.CodeNotFound, "job %q does not exist", jobID)
	}
	return gang, nil
}

// requestAccount returns the account that the request names or, without the
// header, that of the token.
func (s *Server) requestAccount(r *http.Request, identity authorizer.Identity) (primrosespar.Account, error) {
	account := primrosespar.Account(r.Header.Get("X-Account"))
	if account == "" {
		account = identity.Account
	}
	return account, identity.MayUse(account)
}

// newJobAnswer returns the representation of a job for callers.
func newJobAnswer(gang primrosespar.Gang, code primrosespar.Code) caller.JobAnswer {
	return caller.JobAnswer{
		ID: gang.Job.ID, Account: gang.Job.Account, Class: gang.Job.Class, Place: gang.Job.Place,
		Shape: gang.Job.Shape, State: gang.State, Reason: code, Attempt: gang.Attempt,
		Borrowed: gang.Borrowed, Claim: gang.Job.Claim, Preemptions: gang.Preemptions,
		Submitted: gang.Job.Submitted, Slices: gang.Slices,
	}
}
