package scheduler

import (
	"slices"

	"primrosespar.example/primrosespar"
)

// allowedRegions returns the lists of regions that restrict where the tasks of
// the job may run: that of its queue and that of its account.
func (s *Scheduler) allowedRegions(j *job) [][]primrosespar.Region {
	var lists [][]primrosespar.Region
	if regions := s.terms(j).Regions; len(regions) > 0 {
		lists = append(lists, regions)
	}
	if s.catalog != nil && len(s.catalog.Regions[j.submission.Account]) > 0 {
		lists = append(lists, s.catalog.Regions[j.submission.Account])
	}
	return lists
}

// allowedAt reports whether the tasks of the step may run in the region of the
// worker.
func (st *step) allowedAt(w *worker) bool {
	for _, list := range st.regions {
		if !slices.Contains(list, w.info.Region) {
			return false
		}
	}
	return true
}
