// Command standin stands in for the platform and the upstreams in
// demonstrations and tests, runs the product under faults and compares
// scheduling policies.
//
// # Usage
//
//	standin platform --listen 127.0.0.1:7001
//	standin upstream --count 17
//	standin demo
//	standin trial --seed 1 --faults store --load 30s
//	standin soak --seed 1 --load 30s
//	standin cut --cut 14s
//	standin crowd --kind stalled_bodies --clients 2000
//	standin compare --workers 350 --seeds 5 --plot waits.svg
//
// The first two print one JSON line with their addresses and run until SIGTERM.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/standin/executor"
	"primrosespar.example/primrosespar/internal/standin/keeper"
	"primrosespar.example/primrosespar/internal/standin/server"
	"primrosespar.example/primrosespar/internal/standin/servicer"
)

// cli defines the commands.
type cli struct {
	Platform   platformCommand   `cmd:"" help:"Play the table, the object store, the host list and the workers."`
	Upstream   upstreamCommand   `cmd:"" help:"Play service runners, one listener each."`
	Compare    compareCommand    `cmd:"" help:"Compare policies of the fleet scheduler over seeds in virtual time."`
	Crowd      crowdCommand      `cmd:"" help:"Let a crowd of hostile clients connect to one host and judge its memory, sockets and answers."`
	CrowdEntry crowdEntryCommand `cmd:"" help:"Let a crowd of hostile clients connect to one entry host and judge it like crowd."`
	Cut        cutCommand        `cmd:"" help:"Cut the region of the lease holder off while its tasks run and judge the runs."`
	Demo       demoCommand       `cmd:"" help:"Run both example deployments with faults and count what happened."`
	Soak       soakCommand       `cmd:"" help:"Run hosts of the fleet scheduler under seeded faults and judge what callers and workers see."`
	Trial      trialCommand      `cmd:"" help:"Run one deployment under seeded faults and judge the recorded history."`
}

func main() {
	ctx := kong.Parse(&cli{}, kong.Name("standin"), kong.UsageOnError())
	ctx.FatalIfErrorf(ctx.Run())
}

// headerTimeout limits how long a server waits for the headers of a request.
const headerTimeout = 5 * time.Second

// readyLine is the line that a stand-in prints once it listens.
type readyLine struct {
	Addresses []netip.AddrPort `json:"addresses"`
}

// platformCommand runs the stand-in platform.
type platformCommand struct {
	Listen     netip.AddrPort `help:"Address to listen on." default:"127.0.0.1:0"`
	Checkpoint time.Duration  `help:"Time that a checkpoint takes." default:"1s"`
	ListLag    time.Duration  `help:"Age of the host list." default:"1s"`
}

// Run serves until SIGTERM or SIGINT.
func (c *platformCommand) Run() error {
	clock := clockwork.NewRealClock()
	store := keeper.New(keeper.WithClock(clock), keeper.WithFaults(keeper.Faults{ListLag: c.ListLag}))
	workers := executor.New(executor.WithClock(clock), executor.WithCheckpointTime(c.Checkpoint))
	return serve([]*http.Server{{Handler: server.New(store, workers)}}, c.Listen)
}

// upstreamCommand runs stand-in upstreams.
type upstreamCommand struct {
	Count int            `help:"Number of service runners." default:"1"`
	Bind  netip.AddrPort `help:"Address to listen on; all take ports from the kernel." default:"127.0.0.1:0"`
}

// Service times of the stand-in upstreams.
const (
	quickServiceTime = 5 * time.Millisecond
	slowServiceTime  = 20 * time.Millisecond
)

// Run serves until SIGTERM or SIGINT.
func (c *upstreamCommand) Run() error {
	options := []servicer.Option{}
	for _, class := range []primrosespar.Class{"eligibility", "confirmation"} {
		options = append(options, servicer.WithServiceTime(class, quickServiceTime))
	}
	for _, class := range []primrosespar.Class{"recomputation", "booking"} {
		options = append(options, servicer.WithServiceTime(class, slowServiceTime))
	}
	var servers []*http.Server
	for range c.Count {
		upstream := servicer.New(options...)
		servers = append(servers, &http.Server{Handler: upstream, ConnState: upstream.ConnState})
	}
	return serve(servers, c.Bind)
}

// serve opens one listener per server, prints the addresses and serves until
// SIGTERM or SIGINT.
func serve(servers []*http.Server, address netip.AddrPort) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var line readyLine
	var config net.ListenConfig
	for _, s := range servers {
		listener, err := config.Listen(ctx, "tcp", address.String())
		if err != nil {
			return eris.Wrapf(err, "listen on %s", address)
		}
		line.Addresses = append(line.Addresses, netip.MustParseAddrPort(listener.Addr().String()))
		s.ReadHeaderTimeout = headerTimeout
		go func() { _ = s.Serve(listener) }()
	}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		return eris.Wrap(err, "print addresses")
	}
	<-ctx.Done()
	for _, s := range servers {
		_ = s.Close()
	}
	return nil
}

// printJSONLine writes one JSON line to standard output.
func printJSONLine(value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode JSON line")
	}
	_, err = fmt.Fprintln(os.Stdout, string(data))
	return err
}
