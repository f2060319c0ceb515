// Package admitter rejects jobs that the fleet can never run.
//
// It answers jobs that would wait until their callers give up: a task that fits
// on no worker even when it is empty, a label that no worker has, a gang larger
// than all workers together can hold. Their callers are told at once.
//
// Only what is certain is rejected. Workers may be away for a while, so nothing
// is rejected while the service has fewer workers than it had before or until
// they have been the same in settledLists lists, nor a repeated job, which runs
// later. A job that is merely expected to be late is
// not rejected: it earns its late value, or nothing, as a rejected one would, and
// docs/design/admission.md has what was measured.
//
// # Usage
//
//	a := admitter.New()
//	a.Observe(workers) // whenever the list of workers changes
//	err := a.Check(submission, service)
package admitter

import (
	"maps"
	"slices"
	"strings"

	"primrosespar.example/primrosespar"
)

// settledLists is the number of lists after which their workers are taken for
// all of the service. After an outage of the store, or at the begin of a term,
// some may be missing for seconds; the list is read each second.
const settledLists = 10

// Admitter knows the workers of the fleet.
type Admitter struct {
	services map[primrosespar.Service]*service
}

// service holds the workers of a service, the most that it had and in how many
// lists in a row it had them.
type service struct {
	workers []primrosespar.WorkerInfo
	most    int
	lists   int
	// shapes are what the workers of the last list had, by name.
	shapes map[primrosespar.Worker]shape
}

// shape is what decides which tasks fit on an empty worker.
type shape struct {
	capacity primrosespar.Resources
	labels   string
}

// New returns an Admitter that knows no workers.
func New() *Admitter { return &Admitter{services: map[primrosespar.Service]*service{}} }

// Observe sets the workers that the platform lists.
func (a *Admitter) Observe(workers []primrosespar.WorkerInfo) {
	for _, s := range a.services {
		s.workers = s.workers[:0]
	}
	for _, w := range workers {
		s := a.services[w.Service]
		if s == nil {
			s = &service{}
			a.services[w.Service] = s
		}
		s.workers = append(s.workers, w)
	}
	for _, s := range a.services {
		shapes := shapesOf(s.workers)
		if !maps.Equal(shapes, s.shapes) {
			s.lists = 0
		}
		s.shapes = shapes
		s.most = max(s.most, len(s.workers))
		s.lists++
	}
}

// shapesOf returns the shapes of the workers.
func shapesOf(workers []primrosespar.WorkerInfo) map[primrosespar.Worker]shape {
	shapes := make(map[primrosespar.Worker]shape, len(workers))
	for i := range workers {
		shapes[workers[i].Worker] = shape{workers[i].Capacity, strings.Join(workers[i].Labels, "\x00")}
	}
	return shapes
}

// Check returns CodeImpossibleShape if no worker of the service could ever hold
// a task of the job, or all of them together not a gang of it.
func (a *Admitter) Check(job primrosespar.Submission, name primrosespar.Service) error {
	s := a.services[name]
	if s == nil || len(s.workers) < s.most || s.lists < settledLists || job.Repeat.Count > 0 {
		return nil
	}
	for i := range job.Steps {
		step := &job.Steps[i]
		size := 1
		if step.Gang {
			size = step.Count
		}
		if room := s.room(step, size); room < size {
			return primrosespar.Fail(primrosespar.CodeImpossibleShape,
				"step %d: the %d workers of its service could hold %d of %d tasks that start together, even when empty",
				i, len(s.workers), room, size)
		}
	}
	return nil
}

// room returns how many tasks of the step fit on the workers when they are empty,
// at most limit.
func (s *service) room(step *primrosespar.Step, limit int) int {
	room := 0
	for i := range s.workers {
		w := &s.workers[i]
		if room >= limit {
			break
		}
		if step.Label != "" && !slices.Contains(w.Labels, step.Label) {
			continue
		}
		n := w.Capacity.Fits(step.Occupies(), limit-room)
		if step.PerWorker > 0 {
			n = min(n, step.PerWorker)
		}
		room += max(n, 0)
	}
	return room
}
