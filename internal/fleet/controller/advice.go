package controller

import (
	"context"
	"net/netip"

	"primrosespar.example/primrosespar"
)

// maxAdviceHosts bounds the number of hosts that send requests concurrently.
const maxAdviceHosts = 8

// updateAdviceHosts refreshes the list of hosts that can send advice requests:
// this host and the live peers, up to maxAdviceHosts.
func (c *Controller) updateAdviceHosts() {
	c.adviceHosts = c.adviceHosts[:1]
	if c.parts.Hosts != nil {
		hosts := c.parts.Hosts()
		c.adviceHosts = append(c.adviceHosts, hosts[:min(len(hosts), maxAdviceHosts-1)]...)
	}
	c.scheduler.SetMaxAdviceRequests(len(c.adviceHosts))
}

// requestAdvice sends the request through a host that has none in flight.
func (c *Controller) requestAdvice(request primrosespar.AdviceRequest) {
	for _, host := range c.adviceHosts {
		if !c.adviceInFlight[host] {
			c.adviceInFlight[host] = true
			c.goTask("advice request", func() { c.sendAdviceRequest(host, request) })
			return
		}
	}
	// All hosts are busy because one has left since the plan was made.
	now := c.parts.Clock.Now()
	c.scheduler.HandleAdvice(request, primrosespar.Advice{}, false, now, now)
}

// sendAdviceRequest sends one request through the host, where the zero address
// is this host, and passes the answer to the scheduler.
func (c *Controller) sendAdviceRequest(host netip.AddrPort, request primrosespar.AdviceRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, request.Timeout)
	defer cancel()
	requestedAt := c.parts.Clock.Now()
	var advice primrosespar.Advice
	var err error
	if host.IsValid() {
		advice, err = c.parts.Peers.Advise(ctx, host, request)
	} else {
		advice, err = c.parts.Fleet.Advise(ctx, request)
	}
	if err != nil {
		c.parts.OnError("advice", err)
	}
	c.enqueue(func() {
		delete(c.adviceInFlight, host)
		c.scheduler.HandleAdvice(request, advice, err == nil, requestedAt, c.parts.Clock.Now())
	})
}
