// Package viewer serves the state of the fleet, as known to one host, to
// operators.
//
// # Usage
//
//	router := httprouter.New()
//	viewer.New(daemon).Register(router)
//
// GET /v1/fleet returns a primrosespar.FleetStatus and GET /v1/fleet/jobs/:id a
// primrosespar.JobView, both as JSON. Refusals contain a result code, as on the
// operator interface of an entry host.
package viewer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// answerTimeout bounds the time that the scheduler may take to answer.
const answerTimeout = 2 * time.Second

// Viewer handles the HTTP requests of operators.
type Viewer struct {
	fleet primrosespar.FleetViewer
}

// New returns a Viewer.
func New(fleet primrosespar.FleetViewer) *Viewer { return &Viewer{fleet: fleet} }

// Register adds the routes to the router.
func (v *Viewer) Register(router *httprouter.Router) {
	router.GET("/v1/fleet", v.getFleet)
	router.GET("/v1/fleet/jobs/:id", v.getJob)
}

// getFleet serves the status of the fleet.
func (v *Viewer) getFleet(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, v.fleet.Status(ctx))
}

// getJob serves the progress of one job.
func (v *Viewer) getJob(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	view, err := v.fleet.Explain(ctx, primrosespar.JobID(params.ByName("id")))
	if err != nil {
		code, message := primrosespar.CodeOf(err), err.Error()
		var failure *primrosespar.Failure
		if eris.As(err, &failure) {
			message = failure.Message
		}
		writeJSON(w, code.Info().HTTP, caller.Refusal{Code: code, Name: code.String(), Message: message, Ran: primrosespar.RanNot})
		return
	}
	writeJSON(w, http.StatusOK, view)
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
