package server

import (
	"errors"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/document/decoder"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/record/recorder"
	"primrosespar.example/primrosespar/internal/record/reporter"
)

const (
	// defaultExplainPeriod is the period that an explanation covers without
	// ?from=.
	defaultExplainPeriod = 24 * time.Hour
	// maxReportPeriod is the longest period that a report may cover.
	maxReportPeriod = 31 * 24 * time.Hour
)

// asFieldErrors sets the target to the field errors in the chain of err and
// reports whether there are any.
func asFieldErrors(err error, target *decoder.FieldErrors) bool {
	return errors.As(err, target)
}

// showStatus responds with the state of the place as this host knows it.
func (s *Server) showStatus(w http.ResponseWriter, _ *http.Request, _ httprouter.Params, identity authorizer.Identity) error {
	if err := identity.MayOperate(); err != nil {
		return err
	}
	answer := s.parts.Status()
	answer.Draining = s.Draining()
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// showExplanation responds with the decisions about one request, job, worker,
// upstream or contract and a text that explains them. Callers see only the
// decisions about their own account.
func (s *Server) showExplanation(w http.ResponseWriter, r *http.Request, params httprouter.Params, identity authorizer.Identity) error {
	subject := params.ByName("id")
	now := s.parts.Clock.Now()
	from, err := queryTime(r, "from", now.Add(-defaultExplainPeriod))
	if err != nil {
		return err
	}
	if !from.Before(now) || now.Sub(from) > maxReportPeriod {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "from is %s, it must be in the past, by at most %s", from.Format(caller.QueryTime), maxReportPeriod)
	}
	if err := s.parts.Flush(r.Context()); err != nil && identity.Role == authorizer.RoleOperator {
		return err
	}
	decisions, _, err := recorder.Read(r.Context(), s.parts.Objects, from, now.Add(time.Minute), func(d primrosespar.Decision) bool {
		loss := d.Kind == primrosespar.DecisionLoss && identity.Role == authorizer.RoleOperator
		return loss || (d.Subject == subject && identity.MayUse(d.Account) == nil)
	})
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, caller.ExplainAnswer{ID: subject, Decisions: decisions, Explanation: reporter.Explain(subject, decisions)})
	return nil
}

// showIncidents responds with the incident report of a period, which is written
// for publication.
func (s *Server) showIncidents(w http.ResponseWriter, r *http.Request, _ httprouter.Params, identity authorizer.Identity) error {
	if err := identity.MayOperate(); err != nil {
		return err
	}
	now := s.parts.Clock.Now()
	from, err := queryTime(r, "from", now.Add(-time.Hour))
	if err != nil {
		return err
	}
	to, err := queryTime(r, "to", now)
	if err != nil {
		return err
	}
	if !from.Before(to) || to.Sub(from) > maxReportPeriod {
		return primrosespar.Fail(primrosespar.CodeOutOfRange, "from must be before to, by at most %s", maxReportPeriod)
	}
	if err := s.parts.Flush(r.Context()); err != nil {
		return err
	}
	all := func(primrosespar.Decision) bool { return true }
	decisions, missing, err := recorder.Read(r.Context(), s.parts.Objects, from, to, all)
	if err != nil {
		return err
	}
	report := reporter.New(s.publicNames()).Incident(from, to, decisions, missing)
	writeJSON(w, http.StatusOK, caller.IncidentAnswer{From: from, To: to, Markdown: report})
	return nil
}

// publicNames returns the names of accounts in published reports.
func (s *Server) publicNames() map[primrosespar.Account]string {
	names := map[primrosespar.Account]string{}
	view, _ := s.parts.Contracts.View()
	for _, c := range view.Contracts {
		names[c.Contract.Account] = c.Contract.PublicName
	}
	return names
}

// queryTime returns the time of a query parameter, or defaultTime without one.
func queryTime(r *http.Request, name string, defaultTime time.Time) (time.Time, error) {
	value := r.URL.Query().Get(name)
	if value == "" {
		return defaultTime, nil
	}
	t, err := time.Parse(caller.QueryTime, value)
	if err != nil {
		return defaultTime, primrosespar.Fail(primrosespar.CodeOutOfRange, "%s is %q, it must be a time like 2026-01-31T06:00:00Z", name, value)
	}
	return t, nil
}

// showMetrics responds with all metrics in the Prometheus text format.
func (s *Server) showMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	s.parts.Meter.Write(w)
}
