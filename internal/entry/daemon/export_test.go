package daemon

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/follower"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/server"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/member/messenger"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/record/recorder"
	"primrosespar.example/primrosespar/internal/request/forwarder"
	"primrosespar.example/primrosespar/internal/request/minter"
	"primrosespar.example/primrosespar/internal/request/router"
)

// collect returns the options that the functions set.
func collect[O any, F ~func(*O)](opts []F) O {
	var o O
	for _, set := range opts {
		set(&o)
	}
	return o
}

// Applied returns the values that reach the parts, by key of the settings.
func Applied(s configurer.Settings) map[string]any {
	place, view := collect[controller.Options](runnerOptions(s)), collect[follower.Options](followerOptions(s))
	records := collect[recorder.Options](recorderOptions(s, func() int { return 2 }))
	http := collect[server.Options](serverOptions(s))
	return map[string]any{
		"body_bytes":       [2]int{int(http.MaxBody), collect[router.Options](routerOptions(s)).BodyLimit},
		"answer_bytes":     collect[forwarder.Options](forwarderOptions(s)).AnswerLimit,
		"requests":         http.MaxCalls,
		"minted_keys":      collect[minter.Options](minterOptions(s)).MaxKeys,
		"work_bytes":       collect[submitter.Options](submitterOptions(s)).MaxWork,
		"record_decisions": records.Capacity,
		"record_bytes":     records.Budget(),
		"lease":            collect[leaser.Options](leaserOptions(s)).Duration,
		"lease_renew":      place.Renewal,
		"view_validity":    view.Validity,
		"view_poll":        [2]time.Duration{view.Interval, view.NonLeaderInterval},
		"worker_lease":     place.WorkerLease,
		"worker_renew":     place.WorkerRenewal,
		"peer_call":        collect[messenger.Options](messengerOptions(s)).Timeout,
		"platform_call":    New(s, Platform{}).platform.Hosts.(*bounded).limit,
	}
}

// List calls the host list of the platform as the daemon does.
func (d *Daemon) List(ctx context.Context) error {
	_, err := d.platform.Hosts.List(ctx, "")
	return err
}

var _ primrosespar.Table = (*bounded)(nil)
