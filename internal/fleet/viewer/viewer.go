// Package viewer serves what a host knows of the fleet to operators.
//
// # Usage
//
//	router := httprouter.New()
//	viewer.New(daemon).Register(router)
//
// GET /v1/fleet answers a primrosespar.FleetStatus and GET /v1/fleet/jobs/:id a
// primrosespar.JobView, both as JSON. Refusals carry a result code, as on the
// interface for operators of an entry host.
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

// answerTimeout bounds the wait for the scheduler.
const answerTimeout = 2 * time.Second

// Viewer is the handler of the operators' questions.
type Viewer struct {
	fleet primrosespar.FleetViewer
}

// New returns a Viewer.
func New(fleet primrosespar.FleetViewer) *Viewer { return &Viewer{fleet: fleet} }

// Register adds the paths to the router.
func (v *Viewer) Register(router *httprouter.Router) {
	router.GET("/v1/fleet", v.getFleet)
	router.GET("/v1/fleet/jobs/:id", v.getJob)
}

// getFleet answers what the host knows.
func (v *Viewer) getFleet(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	ctx, cancel := context.WithTimeout(r.Context(), answerTimeout)
	defer cancel()
	writeJSON(w, http.StatusOK, v.fleet.Status(ctx))
}

// getJob answers where a job stands.
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

// writeJSON answers with a JSON body. A caller that has left is no error of the
// host.
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
