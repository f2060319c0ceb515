package conductor

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
)

// adviceTimeout bounds a question to the advice service, which takes its time
// for each worker.
const adviceTimeout = 3 * time.Second

// advise puts one question to the advice service.
func (c *Conductor) advise(question primrosespar.Question) {
	ctx, cancel := context.WithTimeout(c.ctx, adviceTimeout)
	defer cancel()
	asked := c.parts.Clock.Now()
	advice, err := c.parts.Fleet.Advise(ctx, question)
	if err != nil {
		c.parts.Failed("advice", err)
	}
	c.post(func() { c.core.Advised(question, advice, err == nil, asked, c.parts.Clock.Now()) })
}
