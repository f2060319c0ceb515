package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"primrosespar.example/primrosespar/internal/standin/partitioner"
	"primrosespar.example/primrosespar/platform/standin"
)

// maxPrintedViolations bounds the violations that a soak prints.
const maxPrintedViolations = 10

// Times of a soak.
const (
	// soakSettleTime is how long the hosts have to elect a lease holder.
	soakSettleTime = 2 * time.Second
	// soakDrainTimeout is how long the jobs may take to end after the faults.
	soakDrainTimeout = 45 * time.Second
	// soakNoteDelay is how long the hosts have to take note of the last ends.
	soakNoteDelay = time.Second
	// soakStopTimeout is how long the hosts may take to stop.
	soakStopTimeout = 8 * time.Second
)

// soakCommand runs host processes of the fleet scheduler against the stand-in
// of the users' platform.
type soakCommand struct {
	Product  string        `help:"Program of the hosts." default:"bin/primrosespar" type:"path"`
	Seed     uint64        `help:"Seed of jobs and faults." default:"1"`
	Load     time.Duration `help:"How long jobs and faults come." default:"20s"`
	Hosts    int           `help:"Number of hosts." default:"4"`
	Workers  int           `help:"Number of workers." default:"16"`
	Regions  int           `help:"Number of regions, each with a share of the hosts and workers." default:"3"`
	Lease    time.Duration `help:"Longest lease of a worker." default:"6s"`
	Rate     float64       `help:"Jobs a second." default:"6"`
	Keep     string        `help:"Directory for the logs; a temporary one by default." type:"path"`
	Troubles []string      `help:"Troubles to draw; all, basic or single ones, with a minus sign to leave one out." default:"all"`
	Calm     bool          `help:"Leave the faults out."`
}

// soak is one run of the command.
type soak struct {
	soakCommand
	fleet     *standin.Fleet
	troubles  troubleSet
	kills     *commitKiller
	processes *processGroup
	links     *partitioner.Partitioner
	hosts     []*soakHost
	client    *http.Client
	// tokenPath names the file with the token of operators.
	tokenPath string
	// healedAt is when the last cut of each region was healed.
	healedMu sync.Mutex
	healedAt map[string]time.Time
}

// Run starts the hosts, runs the soak and fails if it found a violation.
func (c *soakCommand) Run() error {
	dir, err := makeLogDir(c.Keep)
	if err != nil {
		return err
	}
	s, err := newSoak(*c, dir)
	if err != nil {
		return err
	}
	defer s.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := s.startHosts(ctx); err != nil {
		return err
	}
	time.Sleep(soakSettleTime)
	return s.run(ctx, dir)
}

// run runs jobs and faults at the same time, waits for the jobs to end, and
// checks and prints the result.
func (s *soak) run(ctx context.Context, dir string) error {
	start := time.Now()
	load := newSoakLoad(s, rand.New(rand.NewPCG(s.Seed, 1)))
	var tasks conc.WaitGroup
	tasks.Go(func() { load.run(ctx, s.Load) })
	faults := newSoakFaults(s, rand.New(rand.NewPCG(s.Seed, 2)))
	if !s.Calm {
		tasks.Go(func() { faults.run(ctx, s.Load) })
	}
	tasks.Wait()
	s.kills.end()
	load.drain(ctx, soakDrainTimeout)
	faults.checkWaves(soakDrainTimeout)
	writes, reads := s.fleet.Store().Calls()
	return s.report(fmt.Sprintf("seed %d: %d jobs (%d accepted, %d refused, %d with a known state), %d starts, %d store writes (%d refused for good), %d reads, %s",
		s.Seed, load.drawer.count, load.accepted(), load.refused(), load.reported(), s.fleet.Starts(), writes, s.fleet.Store().Refusals(), reads,
		time.Since(start).Round(time.Second)), dir)
}

// makeLogDir creates the directory for the logs, a temporary one if none is
// given.
func makeLogDir(keep string) (string, error) {
	if keep == "" {
		dir, err := os.MkdirTemp("", "soak")
		return dir, eris.Wrap(err, "create log directory")
	}
	return keep, eris.Wrap(os.MkdirAll(keep, 0o700), "create log directory")
}

// report prints the result and fails if there are violations. The logs and the
// record of all runs stay then, and if they are to be kept.
func (s *soak) report(result, dir string) error {
	time.Sleep(soakNoteDelay)
	violations := s.fleet.Violations()
	fmt.Printf("%s, %d violations\n", result, len(violations))
	for _, violation := range violations[:min(len(violations), maxPrintedViolations)] {
		fmt.Println("  violation:", violation)
	}
	if len(violations) == 0 && s.Keep == "" {
		return eris.Wrap(os.RemoveAll(dir), "remove logs")
	}
	if err := os.WriteFile(filepath.Join(dir, "record.txt"), []byte(strings.Join(s.fleet.Record(), "\n")+"\n"), 0o600); err != nil {
		return eris.Wrap(err, "write record")
	}
	fmt.Println("  logs:", dir)
	if len(violations) > 0 {
		return eris.Errorf("%d violations", len(violations))
	}
	return nil
}
