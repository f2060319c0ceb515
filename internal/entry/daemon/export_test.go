package daemon

import (
	"context"
	"time"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/follower"
	"primrosespar.example/primrosespar/internal/entry/configurer"
	"primrosespar.example/primrosespar/internal/entry/server"
	"primrosespar.example/primrosespar/internal/member/divider"
	"primrosespar.example/primrosespar/internal/member/leaser"
	"primrosespar.example/primrosespar/internal/member/messenger"
	"primrosespar.example/primrosespar/internal/operator/caller"
	"primrosespar.example/primrosespar/internal/place/controller"
	"primrosespar.example/primrosespar/internal/place/submitter"
	"primrosespar.example/primrosespar/internal/record/recorder"
	"primrosespar.example/primrosespar/internal/request/forwarder"
	"primrosespar.example/primrosespar/internal/request/minter"
	"primrosespar.example/primrosespar/internal/request/router"
)

// applyOptions applies the functions to empty options.
func applyOptions[O any, F ~func(*O)](opts []F) O {
	var o O
	for _, set := range opts {
		set(&o)
	}
	return o
}

// AppliedSettings returns the values that the parts receive, by key of the
// settings.
func AppliedSettings(s configurer.Settings) map[string]any {
	place, view := applyOptions[controller.Options](controllerOptions(s)), applyOptions[follower.Options](followerOptions(s))
	records := applyOptions[recorder.Options](recorderOptions(s, func() int { return 2 }))
	http := applyOptions[server.Options](serverOptions(s))
	return map[string]any{
		"body_bytes":       [2]int{int(http.MaxBody), applyOptions[router.Options](routerOptions(s)).MaxBody},
		"answer_bytes":     applyOptions[forwarder.Options](forwarderOptions(s)).MaxAnswer,
		"requests":         http.MaxCallerRequests,
		"connection_bytes": [2]int64{publicLimits(s).Bytes, peerLimits(s).Bytes},
		"minted_keys":      applyOptions[minter.Options](minterOptions(s)).MaxKeys,
		"work_bytes":       applyOptions[submitter.Options](submitterOptions(s)).MaxPayload,
		"record_decisions": records.Capacity,
		"record_bytes":     records.Budget(),
		"lease":            applyOptions[leaser.Options](leaserOptions(s)).Duration,
		"lease_renew":      place.Renewal,
		"view_validity":    view.Validity,
		"view_poll":        [2]time.Duration{view.Interval, view.NonLeaderInterval},
		"worker_lease":     place.WorkerLease,
		"worker_renew":     place.WorkerRenewal,
		"peer_call":        applyOptions[messenger.Options](messengerOptions(s)).Timeout,
		"platform_call":    New(s, Platform{}).platform.Hosts.(*timeoutPlatform).timeout,
	}
}

// StatusAroundSuspension returns the status of a host that runs for a while, and
// its status right after it was suspended. suspend suspends it for a time.
func (d *Daemon) StatusAroundSuspension(ctx context.Context, suspend func(time.Duration), duration time.Duration) (before, after caller.StatusAnswer, err error) {
	open, err := d.openListeners(ctx)
	if err != nil {
		return before, after, err
	}
	defer open.close()
	h := d.newHost(open)
	directory, err := d.platform.Hosts.List(ctx, d.settings.Place)
	if err != nil {
		return before, after, err
	}
	h.dispatcher.SetDirectory(directory)
	for range divider.HandoverTimeout / time.Second {
		suspend(time.Second)
		h.members.Tick()
	}
	if _, err = h.follower.Step(ctx); err != nil {
		return before, after, err
	}
	before = h.status()
	suspend(duration)
	return before, h.status(), nil
}

// List reads the host list of the platform as the daemon does.
func (d *Daemon) List(ctx context.Context) error {
	_, err := d.platform.Hosts.List(ctx, "")
	return err
}

var _ primrosespar.Table = (*timeoutPlatform)(nil)
