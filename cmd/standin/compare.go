package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc/iter"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/simulator"
)

// Size and resolution of the plot.
const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// plotPoints is the number of quantile steps of a line.
	plotPoints = 100
)

// compareCommand compares policies of the fleet scheduler in virtual time.
type compareCommand struct {
	Workers int           `help:"Workers of the fleet." default:"48"`
	Seeds   int           `help:"Seeds of the jobs; the first is 1." default:"5"`
	Load    float64       `help:"Factor on the rate of jobs." default:"1"`
	Time    time.Duration `help:"Virtual time in which jobs come." default:"60s"`
	Plot    string        `help:"SVG file of the times from acceptance to start." type:"path" placeholder:"FILE"`
}

// Run simulates every policy with every seed, prints a table and draws the plot
// if a file was named.
func (c *compareCommand) Run() error {
	policies := simulator.Policies()
	type simulation struct {
		policy simulator.Policy
		seed   int
	}
	var simulations []simulation
	for _, p := range policies {
		for seed := 1; seed <= c.Seeds; seed++ {
			simulations = append(simulations, simulation{p, seed})
		}
	}
	results := iter.Map(simulations, func(sim *simulation) simulator.Result {
		return simulator.New(simulator.WithWorkers(c.Workers), simulator.WithSeed(uint64(sim.seed)),
			simulator.WithLoad(c.Load), simulator.WithPolicy(sim.policy)).Run(c.Time)
	})
	byPolicy := map[string][]simulator.Result{}
	for _, r := range results {
		byPolicy[r.Policy] = append(byPolicy[r.Policy], r)
	}
	if err := c.printTable(os.Stdout, policies, byPolicy); err != nil {
		return err
	}
	if c.Plot == "" {
		return nil
	}
	return c.drawPlot(policies, byPolicy)
}

// printTable writes one row per policy with the means over the seeds.
func (c *compareCommand) printTable(out io.Writer, policies []simulator.Policy, results map[string][]simulator.Result) error {
	fmt.Fprintf(out, "%d workers, %d seeds, %v of job arrivals, load %.2f\n", c.Workers, c.Seeds, c.Time, c.Load)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tJOBS\tEARNED SHARE\tMIN EARNED SHARE\tURGENT P50\tURGENT P95\tLARGE P95\tSMALL P95\tNOT STARTED\tFRAGMENTATION\tLOST PER JOB")
	for _, p := range policies {
		var jobs, notStarted, earnedShare, fragmentation, lostWork float64
		minEarnedShare := 1.0
		waits := map[string]time.Duration{}
		for _, r := range results[p.Name] {
			n := float64(len(results[p.Name]))
			jobs, notStarted = jobs+float64(r.Jobs)/n, notStarted+float64(r.Waiting)/n
			earnedShare, fragmentation, lostWork = earnedShare+r.EarnedShare/n, fragmentation+r.Fragmentation/n, lostWork+r.Lost/n
			minEarnedShare = min(minEarnedShare, r.EarnedShare)
			for name, wait := range map[string]time.Duration{
				"urgent50": r.Wait("urgent", 0.5), "urgent95": r.Wait("urgent", 0.95),
				"large95": r.Wait("large", 0.95), "small95": r.Wait("small", 0.95),
			} {
				waits[name] += wait / time.Duration(len(results[p.Name]))
			}
		}
		fmt.Fprintf(w, "%s\t%.0f\t%.3f\t%.3f\t%v\t%v\t%v\t%v\t%.1f\t%.3f\t%.0f\n", p.Name, jobs, earnedShare, minEarnedShare,
			roundTime(waits["urgent50"]), roundTime(waits["urgent95"]), roundTime(waits["large95"]), roundTime(waits["small95"]),
			notStarted, fragmentation, lostWork)
	}
	return eris.Wrap(w.Flush(), "write table")
}

// roundTime rounds a duration for display.
func roundTime(d time.Duration) time.Duration { return d.Round(10 * time.Millisecond) }

// drawPlot plots the distribution of the waits of urgent jobs, one line per
// policy.
func (c *compareCommand) drawPlot(policies []simulator.Policy, results map[string][]simulator.Result) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Time from acceptance to start of urgent jobs, %d workers", c.Workers)
	p.X.Label.Text = "share of the jobs (%)"
	p.Y.Label.Text = "time (s)"
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, policy := range policies {
		lines = append(lines, policy.Name, quantiles(results[policy.Name], "urgent"))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return eris.Wrap(err, "draw plot")
	}
	return eris.Wrap(p.Save(plotWidth, plotHeight, c.Plot), "save plot")
}

// quantiles returns the quantiles of the waits of a queue in seconds, averaged
// over the seeds.
func quantiles(results []simulator.Result, queue primrosespar.Queue) plotter.XYs {
	points := make(plotter.XYs, plotPoints+1)
	for i := range points {
		points[i].X = 100 * float64(i) / plotPoints
		for _, r := range results {
			points[i].Y += r.Wait(queue, float64(i)/plotPoints).Seconds() / float64(len(results))
		}
	}
	return points
}
