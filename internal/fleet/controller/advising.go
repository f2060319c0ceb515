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
	// maxAskers bounds the hosts that put questions at once.
	maxAskers = 8
)

// findAskers takes note of the hosts that can put questions.
func (c *Controller) findAskers() {
	c.askers = c.askers[:1]
	if c.parts.Hosts != nil {
		hosts := c.parts.Hosts()
		c.askers = append(c.askers, hosts[:min(len(hosts), maxAskers-1)]...)
	}
	c.core.SetMaxAdviceRequests(len(c.askers))
}

// ask lets a host without a question put this one.
func (c *Controller) ask(question primrosespar.AdviceRequest) {
	for _, host := range c.askers {
		if !c.asking[host] {
			c.asking[host] = true
			c.tasks.Go(func() { c.advise(host, question) })
			return
		}
	}
	// A host has left since the plan was made.
	now := c.parts.Clock.Now()
	c.core.Advised(question, primrosespar.Advice{}, false, now, now)
}

// advise puts one question at the host.
func (c *Controller) advise(host netip.AddrPort, question primrosespar.AdviceRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, adviceTimeout)
	defer cancel()
	asked := c.parts.Clock.Now()
	var advice primrosespar.Advice
	var err error
	if host.IsValid() {
		advice, err = c.parts.Peers.Advise(ctx, host, question)
	} else {
		advice, err = c.parts.Fleet.Advise(ctx, question)
	}
	if err != nil {
		c.parts.OnError("advice", err)
	}
	c.post(func() {
		delete(c.asking, host)
		c.core.Advised(question, advice, err == nil, asked, c.parts.Clock.Now())
	})
}
