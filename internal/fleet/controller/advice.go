package controller

import (
	"context"
	"net/netip"
	"time"

	"primrosespar.example/primrosespar"
)

const (
	// adviceTimeout bounds a question to the advice service, which takes its
	// time for each worker.
	adviceTimeout = 3 * time.Second
	// maxAdviceHosts bounds the hosts that put questions at once.
	maxAdviceHosts = 8
)

// updateAdviceHosts takes note of the hosts that can put questions.
func (c *Controller) updateAdviceHosts() {
	c.adviceHosts = c.adviceHosts[:1]
	if c.parts.Hosts != nil {
		hosts := c.parts.Hosts()
		c.adviceHosts = append(c.adviceHosts, hosts[:min(len(hosts), maxAdviceHosts-1)]...)
	}
	c.scheduler.SetMaxAdviceRequests(len(c.adviceHosts))
}

// requestAdvice lets a host without a question put this one.
func (c *Controller) requestAdvice(request primrosespar.AdviceRequest) {
	for _, host := range c.adviceHosts {
		if !c.adviceInFlight[host] {
			c.adviceInFlight[host] = true
			c.tasks.Go(func() { c.sendAdviceRequest(host, request) })
			return
		}
	}
	// A host has left since the plan was made.
	now := c.parts.Clock.Now()
	c.scheduler.Advised(request, primrosespar.Advice{}, false, now, now)
}

// sendAdviceRequest puts one question at the host.
func (c *Controller) sendAdviceRequest(host netip.AddrPort, request primrosespar.AdviceRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, adviceTimeout)
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
		c.scheduler.Advised(request, advice, err == nil, requestedAt, c.parts.Clock.Now())
	})
}
