package server

import (
	"context"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/amender"
	"primrosespar.example/primrosespar/internal/contract/checker"
	"primrosespar.example/primrosespar/internal/contract/parser"
	"primrosespar.example/primrosespar/internal/document/decoder"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// historyLimit bounds the entries of one response with a contract's history.
const historyLimit = 200

// showContract responds with the contract of an account and the progress of its
// newest amendment. Callers may read the contract of their own account.
func (s *Server) showContract(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	account := primrosespar.Account(params.ByName("account"))
	if err := identity.MayUse(account); err != nil {
		return err
	}
	answer, err := s.contractAnswer(r.Context(), account)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// contractAnswer reads the contract of an account and the progress of its
// newest amendment in each place.
func (s *Server) contractAnswer(ctx context.Context, account primrosespar.Account) (caller.ContractAnswer, error) {
	record, err := s.parts.Amender.Show(ctx, account)
	if err != nil {
		return caller.ContractAnswer{}, err
	}
	answer := caller.ContractAnswer{
		Account: account, Code: primrosespar.CodeContractAccepted,
		Version: record.Latest(), Revision: record.Revision, State: amender.StateAccepted,
		Pending: record.Pending,
	}
	if record.Pending != nil {
		answer.Code = primrosespar.CodeContractPending
		answer.State = amender.StatePending
	}
	if record.Accepted != nil {
		answer.Document = record.Accepted.Document
		answer.Deleted = record.Accepted.Deleted
	}
	answer.Places, err = s.parts.Amender.Progress(ctx, account)
	return answer, err
}

// applyContract amends or deletes a contract.
func (s *Server) applyContract(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	if err := identity.MayOperate(); err != nil {
		return err
	}
	amendment, err := s.readAmendment(r, params, identity)
	if err != nil {
		return err
	}
	outcome, err := s.parts.Amender.Amend(r.Context(), amendment)
	s.recordAmendment(amendment, outcome, err)
	if err != nil {
		return err
	}
	answer, err := s.contractAnswer(r.Context(), amendment.Account)
	if err != nil || answer.Revision != outcome.Revision {
		// The amendment is stored, but the read failed or found another
		// revision. The answer is made from the outcome, without document and
		// progress.
		answer = caller.ContractAnswer{Account: amendment.Account, Code: primrosespar.CodeContractAccepted}
		if outcome.State == amender.StatePending {
			answer.Code = primrosespar.CodeContractPending
		}
		answer.Version, answer.Revision, answer.State = outcome.Version, outcome.Revision, outcome.State
	}
	writeJSON(w, answer.Code.Info().HTTP, answer)
	return nil
}

// readAmendment reads the headers and the document of an amendment.
func (s *Server) readAmendment(r *http.Request, params httprouter.Params, identity authorizer.Identity) (amender.Amendment, error) {
	base, err := strconv.ParseUint(r.Header.Get(caller.HeaderIfMatch), 10, 64)
	if err != nil {
		return amender.Amendment{}, primrosespar.Fail(primrosespar.CodeBadRequest,
			"header %s must be the version that is amended, 0 for a new contract", caller.HeaderIfMatch)
	}
	amendmentID := r.Header.Get(caller.HeaderAmendmentID)
	if amendmentID == "" || len(amendmentID) > maxKeyBytes || !isPrintable(amendmentID) {
		return amender.Amendment{}, primrosespar.Fail(primrosespar.CodeBadRequest,
			"header %s must be a unique id of at most %d printable characters", caller.HeaderAmendmentID, maxKeyBytes)
	}
	resent := r.Header.Get(caller.HeaderResent)
	if resent != "" && resent != "1" {
		return amender.Amendment{}, primrosespar.Fail(primrosespar.CodeBadRequest,
			"header %s is %q, it must be 1 or absent", caller.HeaderResent, resent)
	}
	document, err := readBody(r)
	if err != nil {
		return amender.Amendment{}, err
	}
	return amender.Amendment{
		ID: amendmentID, Account: primrosespar.Account(params.ByName("account")), Base: primrosespar.Version(base),
		Document: document, Delete: r.Method == http.MethodDelete, Author: identity.Name,
		At: s.parts.Clock.Now().UTC(), Resent: resent == "1",
	}, nil
}

// recordAmendment records the outcome of an amendment as a decision.
func (s *Server) recordAmendment(amendment amender.Amendment, outcome amender.Outcome, err error) {
	code := primrosespar.CodeContractAccepted
	detail := "amended by " + amendment.Author
	if outcome.State == amender.StatePending {
		code = primrosespar.CodeContractPending
	}
	if err != nil {
		code = primrosespar.CodeOf(err)
		detail = "refused"
	}
	s.parts.Recorder.Record(primrosespar.Decision{
		Kind: primrosespar.DecisionContract, Code: code, Subject: string(amendment.Account), Account: amendment.Account,
		ContractVersion: outcome.Version, Detail: detail,
		Figures: []primrosespar.Figure{{Name: "revision", Value: float64(outcome.Revision)}},
	})
}

// showContractHistory responds with the amendments of an account, newest first.
func (s *Server) showContractHistory(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	account := primrosespar.Account(params.ByName("account"))
	if err := identity.MayUse(account); err != nil {
		return err
	}
	entries, err := s.parts.Amender.History(r.Context(), account, historyLimit)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, caller.HistoryAnswer{Entries: entries})
	return nil
}

// checkContract responds with whether a contract document would be accepted. It
// writes nothing.
func (s *Server) checkContract(w http.ResponseWriter, r *http.Request, _ httprouter.Params, identity authorizer.Identity) error {
	if err := identity.MayOperate(); err != nil {
		return err
	}
	document, err := readBody(r)
	if err != nil {
		return err
	}
	contract, err := parser.Parse(document)
	if err != nil {
		writeJSON(w, http.StatusOK, caller.CheckAnswer{Code: primrosespar.CodeOf(err), FieldErrors: fieldErrors(err)})
		return nil
	}
	workers, err := s.parts.AllWorkers(r.Context())
	if err != nil {
		return err
	}
	current, others := s.splitContracts(contract.Account)
	answer := caller.CheckAnswer{
		Code:          primrosespar.CodeOK,
		Shortfalls:    checker.New(workers).Amend(current, contract, others),
		LowersOffline: checker.LowersOffline(current, contract),
	}
	if len(answer.Shortfalls) > 0 {
		answer.Code = primrosespar.CodeGuaranteesDontPack
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// splitContracts returns the current contract of the account, empty if it has
// none, and those of all other accounts.
func (s *Server) splitContracts(account primrosespar.Account) (primrosespar.Contract, []primrosespar.Contract) {
	var current primrosespar.Contract
	var others []primrosespar.Contract
	view, _ := s.parts.Contracts.View()
	for _, c := range view.Contracts {
		if c.Contract.Account == account {
			current = c.Contract
			continue
		}
		others = append(others, c.Contract)
	}
	return current, others
}

// fieldErrors returns the errors of a document, or the error itself if it names
// no fields.
func fieldErrors(err error) []decoder.FieldError {
	var errs decoder.FieldErrors
	if asFieldErrors(err, &errs) {
		return errs
	}
	return []decoder.FieldError{{Message: err.Error()}}
}
