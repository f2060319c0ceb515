package controller

import (
	"slices"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/fleet/maintainer"
)

// refuseGroup records that the store refuses a group of writes for good.
func (c *Controller) refuseGroup(b *batch, g writeGroup, reason error) {
	switch {
	case g.job != "":
		b.refused[g.job] = reason
	case g.wave != 0:
		c.refuseWave(b, g.wave, reason)
	default:
		// The rows stay and are ignored or deleted again by the next holder.
		c.parts.OnError("delete", reason)
	}
}

// refuseWave drops the orders of a maintenance wave whose row cannot be stored.
func (c *Controller) refuseWave(b *batch, wave int, reason error) {
	c.parts.OnError("maintenance", reason)
	delete(b.waves, wave)
	b.maintenanceOrders = slices.DeleteFunc(b.maintenanceOrders, func(o maintainer.Order) bool { return o.Wave == wave })
}

// setAsideRefused sets the jobs aside whose records the store refuses for good.
// A job that was not accepted before is rejected. One that was accepted fails,
// which a smaller record says; if the store refuses that one too, the job is
// left as it is stored.
func (c *Controller) setAsideRefused(b *batch) {
	now := c.parts.Clock.Now()
	for id, reason := range b.refused {
		r := b.records[id]
		fromInbox := b.fromInbox[id] || c.next.deletes(primrosespar.FleetInboxSubmitKey(id))
		replies := b.replies[id]
		delete(b.records, id)
		delete(b.replies, id)
		if r.Submission != nil && !fromInbox {
			replies = append(replies, c.next.withdraw(id)...)
			c.scheduler.Reject(id, reason.Error())
		} else if c.scheduler.SetAside(id, reason.Error(), now) {
			if fromInbox {
				c.next.deletedKeys[primrosespar.FleetInboxSubmitKey(id)] = true
			}
			c.next.replies[id] = append(c.next.replies[id], replies...)
			c.keepAcknowledgements(b)
			continue
		}
		for _, reply := range replies {
			reply(primrosespar.Fail(primrosespar.CodeSetAside, "the store refuses the rows of job %q", id).WithCause(reason))
		}
	}
}

// keepAcknowledgements leaves the acknowledgements of the batch to the next
// commit, which stores that a job is set aside. They may cover ends of its
// runs.
func (c *Controller) keepAcknowledgements(b *batch) {
	c.next.reopen()
	for w, acknowledgement := range b.acknowledged {
		if _, later := c.next.acknowledged[w]; !later {
			c.next.acknowledged[w] = acknowledgement
		}
	}
	clear(b.acknowledged)
}
