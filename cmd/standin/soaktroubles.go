package main

import (
	"slices"

	"github.com/rotisserie/eris"
)

// trouble is a kind of fault or of demanding job that a soak draws.
type trouble string

// Faults of single hosts, links, workers and services.
const (
	troubleKill    trouble = "kill"
	troubleTerm    trouble = "term"
	troubleFreeze  trouble = "freeze"
	troubleLink    trouble = "link"
	troubleStore   trouble = "store"
	troubleWorker  trouble = "worker"
	troubleRestart trouble = "restart"
	troubleConfig  trouble = "config"
	troubleReload  trouble = "reload"
	troubleWave    trouble = "wave"
	troubleReplace trouble = "replace"
)

// Series of faults of workers.
const (
	// troubleFlap lets workers crash and come back several times, troubleGrey
	// lets several fail all that they start while they answer, and troubleLeave
	// takes several away at short notice.
	troubleFlap  trouble = "flap"
	troubleGrey  trouble = "grey"
	troubleLeave trouble = "leave"
)

// Faults of whole regions.
const (
	// troubleRegion cuts a region off, troubleOneWay in one direction only, and
	// troubleSeries several times beside freezes of the lease holder.
	troubleRegion trouble = "region"
	troubleOneWay trouble = "oneway"
	troubleSeries trouble = "series"
	// troubleEvacuate has an operator empty a region and take that back, some
	// times in a row, through the platform or with a command of the product.
	troubleEvacuate trouble = "evacuate"
)

// Demanding jobs and callers.
const (
	// troubleCommit kills the lease holder at each commit about a job.
	troubleCommit trouble = "commit"
	// troubleRefuse makes the store refuse what is written about a job for good.
	troubleRefuse trouble = "refuse"
	// troubleLarge draws jobs of many small tasks, troubleLong tasks that take
	// between a tenth of a second and minutes.
	troubleLarge trouble = "large"
	troubleLong  trouble = "long"
	// troubleEnds draws jobs of which thousands of tasks end at once, while the
	// workers are silent, the holder is killed or the store is silent.
	troubleEnds trouble = "ends"
	// troubleForeign calls with the key of another tenant.
	troubleForeign trouble = "foreign"
)

// basicTroubles returns the faults of single hosts, links, workers and services.
func basicTroubles() []trouble {
	return []trouble{
		troubleKill, troubleTerm, troubleFreeze, troubleLink, troubleStore, troubleWorker, troubleRestart, troubleConfig,
		troubleReload, troubleWave, troubleReplace,
	}
}

// faultTroubles returns all faults in the order in which they are drawn.
func faultTroubles() []trouble {
	return append(basicTroubles(), troubleRegion, troubleOneWay, troubleSeries, troubleEvacuate,
		troubleFlap, troubleGrey, troubleLeave)
}

// loadTroubles returns the kinds of demanding jobs and callers.
func loadTroubles() []trouble {
	return []trouble{troubleCommit, troubleRefuse, troubleLarge, troubleLong, troubleForeign, troubleEnds}
}

// troubleSet holds the troubles that a soak draws.
type troubleSet map[trouble]bool

// parseTroubles returns the set of the named troubles. The names "all" and
// "basic" stand for several, and a name after a minus sign is taken out again.
func parseTroubles(names []string) (troubleSet, error) {
	all := append(faultTroubles(), loadTroubles()...)
	set := troubleSet{}
	for _, name := range names {
		include := name == "" || name[0] != '-'
		if !include {
			name = name[1:]
		}
		group := []trouble{trouble(name)}
		switch {
		case name == "all":
			group = all
		case name == "basic":
			group = basicTroubles()
		case !slices.Contains(all, trouble(name)):
			return nil, eris.Errorf("unknown trouble %q; there are all, basic and %v", name, all)
		}
		for _, t := range group {
			set[t] = include
		}
	}
	return set, nil
}

// cut reports whether regions are cut off.
func (s troubleSet) cut() bool { return s[troubleRegion] || s[troubleOneWay] || s[troubleSeries] }

// faults returns the faults of the set in the order in which they are drawn.
func (s troubleSet) faults() []trouble {
	return slices.DeleteFunc(faultTroubles(), func(t trouble) bool { return !s[t] })
}
