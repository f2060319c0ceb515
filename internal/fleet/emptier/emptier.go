// Package emptier serves the calls of operators that empty a place of the fleet
// and take that back.
//
// # Usage
//
//	router := httprouter.New()
//	emptier.New(service, authorizer).Register(router)
//
// PUT and DELETE /v1/fleet/evacuations/:place need the bearer token of an
// operator and return a primrosespar.Evacuation as JSON. Refusals contain a
// result code, as on the operator interface of an entry host.
package emptier

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// answerTimeout bounds the time that the store may take.
const answerTimeout = 5 * time.Second

// maxBody bounds the body of a call in bytes, which needs none.
const maxBody = 4096

// Emptier handles the HTTP requests of operators.
type Emptier struct {
	service primrosespar.EvacuationService
	// authorizer is nil if no token is accepted.
	authorizer *authorizer.Authorizer
}

// New returns an Emptier. Without an authorizer it refuses all calls.
func New(service primrosespar.EvacuationService, a *authorizer.Authorizer) *Emptier {
	return &Emptier{service: service, authorizer: a}
}

// Register adds the routes to the router.
func (e *Emptier) Register(router *httprouter.Router) {
	router.PUT("/v1/fleet/evacuations/:place", e.handle(e.service.Evacuate))
	router.DELETE("/v1/fleet/evacuations/:place", e.handle(func(ctx context.Context, place primrosespar.Place) (primrosespar.Evacuation, error) {
		return primrosespar.Evacuation{Place: place, Own: true}, e.service.Restore(ctx, place)
	}))
}

// handle returns the handler of calls that make a change.
func (e *Emptier) handle(change func(context.Context, primrosespar.Place) (primrosespar.Evacuation, error)) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
		defer cancel()
		evacuation, err := primrosespar.Evacuation{}, e.authorize(r)
		if err == nil {
			// A call that has not come completely may still be refused.
			err = discard(http.MaxBytesReader(w, r.Body, maxBody))
		}
		if err == nil {
			evacuation, err = change(ctx, primrosespar.Place(params.ByName("place")))
		}
		if err != nil {
			writeRefusal(w, err)
			return
		}
		writeJSON(w, http.StatusOK, evacuation)
	}
}

// discard reads a body that has no meaning to its end.
func discard(body io.Reader) error {
	_, err := io.Copy(io.Discard, body)
	var failure *primrosespar.Failure
	if err == nil || errors.As(err, &failure) {
		return err
	}
	return primrosespar.Fail(primrosespar.CodeBadRequest, "cannot read the request body").WithCause(err)
}

// authorize returns nil if the call has the token of an operator.
func (e *Emptier) authorize(r *http.Request) error {
	if e.authorizer == nil {
		return primrosespar.Fail(primrosespar.CodeForbidden, "this host was started without a token of operators")
	}
	identity, err := e.authorizer.Authorize(r.Header.Get("Authorization"))
	if err != nil {
		return err
	}
	return identity.MayOperate()
}

// writeRefusal writes the failure of a call.
func writeRefusal(w http.ResponseWriter, err error) {
	refusal := caller.Refusal{Code: primrosespar.CodeOf(err), Message: err.Error(), Ran: primrosespar.RanNot}
	var failure *primrosespar.Failure
	if eris.As(err, &failure) {
		refusal.Message, refusal.Ran = failure.Message, failure.Ran
	}
	refusal.Name = refusal.Code.String()
	writeJSON(w, refusal.Code.Info().HTTP, refusal)
}

// writeJSON writes a response with a JSON body. It ignores write errors, which
// mean that the caller has disconnected.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
