package conductor

import (
	"context"
	"slices"
	"time"

	"primrosespar.example/primrosespar"
)

// adviceTimeout bounds a question to the advice service, which takes its time
// for each worker.
const adviceTimeout = 3 * time.Second

// askNext puts the next question, an urgent one first, unless one is out: the
// advice service answers one call of a host after the other.
func (c *Conductor) askNext() {
	if c.asking || len(c.questions) == 0 {
		return
	}
	i := max(0, slices.IndexFunc(c.questions, func(q primrosespar.Question) bool { return q.Urgent }))
	question := c.questions[i]
	c.questions = slices.Delete(c.questions, i, i+1)
	c.asking = true
	c.tasks.Go(func() { c.advise(question) })
}

// advise puts one question to the advice service.
func (c *Conductor) advise(question primrosespar.Question) {
	ctx, cancel := context.WithTimeout(c.ctx, adviceTimeout)
	defer cancel()
	asked := c.parts.Clock.Now()
	advice, err := c.parts.Fleet.Advise(ctx, question)
	if err != nil {
		c.parts.Failed("advice", err)
	}
	c.post(func() {
		c.asking = false
		c.core.Advised(question, advice, err == nil, asked, c.parts.Clock.Now())
		c.askNext()
	})
}
