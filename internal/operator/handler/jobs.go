package handler

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/operator/caller"
)

// jobCommands are the commands for jobs.
type jobCommands struct {
	Submit jobSubmit `cmd:"" help:"Submit a gang job."`
	List   jobList   `cmd:"" help:"List jobs."`
	Show   jobShow   `cmd:"" help:"Show a job and its accelerators."`
	Cancel jobCancel `cmd:"" help:"Cancel a job."`
}

type jobSubmit struct {
	Account     string        `required:"" help:"Client account."`
	Class       string        `required:"" help:"Class of the contract."`
	Place       string        `required:"" help:"Place that runs the job."`
	Members     int           `required:"" help:"Number of members of the gang."`
	Block       int           `required:"" help:"Adjacent accelerators of each member."`
	OneRack     bool          `help:"All members stand in one rack."`
	Cores       int           `help:"Cores of each member."`
	MemoryBytes int64         `help:"Memory of each member in bytes."`
	Claim       bool          `help:"Claim the guarantee of the account."`
	Declared    time.Duration `required:"" help:"Expected run time, such as 2h."`
	Deadline    time.Duration `required:"" help:"Time from now by which the job should end."`
	Work        string        `help:"File with the payload." type:"path" placeholder:"FILE"`
	Key         string        `help:"Key of the submission; give the same key to send it again after an unknown outcome."`
}

// Run submits the job.
func (c *jobSubmit) Run(env *Env) error {
	job := caller.JobRequest{
		Account: primrosespar.Account(c.Account),
		Class:   primrosespar.Class(c.Class),
		Place:   primrosespar.Place(c.Place),
		Shape: primrosespar.Shape{
			Members: c.Members, Block: c.Block, OneRack: c.OneRack,
			Cores: c.Cores, MemoryBytes: c.MemoryBytes,
		},
		Claim:    c.Claim,
		Declared: caller.Duration(c.Declared),
		Deadline: caller.Duration(c.Deadline),
	}
	if c.Work != "" {
		data, err := readFile(c.Work)
		if err != nil {
			return err
		}
		job.Payload = data
	}
	key := c.Key
	if key == "" {
		key = newID()
	}
	answer, err := env.caller.Submit(context.Background(), key, c.Key == "", job)
	if primrosespar.CodeOf(err) == primrosespar.CodeOutcomeUnknown {
		return primrosespar.FailUnknown(primrosespar.CodeOutcomeUnknown, "retry with --key %s", key).WithCause(err)
	}
	if err != nil {
		return err
	}
	return env.printer.Job(answer)
}

type jobList struct {
	Account string `help:"Only jobs of this client account."`
	Place   string `help:"Place whose jobs are listed; by default that of the host."`
}

// Run lists the jobs.
func (c *jobList) Run(env *Env) error {
	answer, err := env.caller.Jobs(context.Background(), primrosespar.Account(c.Account), primrosespar.Place(c.Place))
	if err != nil {
		return err
	}
	return env.printer.Jobs(answer)
}

type jobShow struct {
	ID string `arg:"" help:"Job."`
}

// Run shows the job.
func (c *jobShow) Run(env *Env) error {
	answer, err := env.caller.Job(context.Background(), primrosespar.JobID(c.ID))
	if err != nil {
		return err
	}
	return env.printer.Job(answer)
}

type jobCancel struct {
	ID string `arg:"" help:"Job."`
}

// Run cancels the job.
func (c *jobCancel) Run(env *Env) error {
	answer, err := env.caller.Cancel(context.Background(), primrosespar.JobID(c.ID))
	if err != nil {
		return err
	}
	return env.printer.Job(answer)
}
