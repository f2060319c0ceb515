package daemon

import (
	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/contract/follower"
	"primrosespar.example/primrosespar/internal/entry/authorizer"
	"primrosespar.example/primrosespar/internal/entry/budgeter"
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

// The functions below convert the limits and timeouts to options of the parts.
// Each key of both tables is used in one of them or by Daemon itself
// (connections, platform_call, drain).

func followerOptions(s configurer.Settings) []follower.Option {
	return []follower.Option{
		follower.WithValidity(s.Timeouts.ViewValidity),
		follower.WithInterval(s.Timeouts.ViewPoll),
	}
}

func leaserOptions(s configurer.Settings) []leaser.Option {
	return []leaser.Option{leaser.WithDuration(s.Timeouts.Lease)}
}

func controllerOptions(s configurer.Settings) []controller.Option {
	return []controller.Option{
		controller.WithRenewal(s.Timeouts.LeaseRenew),
		controller.WithWorkerLease(s.Timeouts.WorkerLease),
		controller.WithWorkerRenewal(s.Timeouts.WorkerRenew),
	}
}

func messengerOptions(s configurer.Settings) []messenger.Option {
	return []messenger.Option{messenger.WithTimeout(s.Timeouts.PeerCall)}
}

func forwarderOptions(s configurer.Settings) []forwarder.Option {
	return []forwarder.Option{forwarder.WithMaxAnswer(int64(s.Limits.AnswerBytes))}
}

func minterOptions(s configurer.Settings) []minter.Option {
	return []minter.Option{minter.WithBounds(mintedKeyLifetime, s.Limits.MintedKeys, mintedAnswerBytes)}
}

func routerOptions(s configurer.Settings) []router.Option {
	return []router.Option{router.WithMaxBody(s.Limits.BodyBytes)}
}

func submitterOptions(s configurer.Settings) []submitter.Option {
	return []submitter.Option{submitter.WithMaxPayload(s.Limits.PayloadBytes)}
}

func serverOptions(s configurer.Settings) []server.Option {
	return []server.Option{
		server.WithMaxBody(int64(s.Limits.BodyBytes)),
		server.WithMaxCallerRequests(s.Limits.Requests),
	}
}

// recorderOptions divides the budget of the place for decision records by the
// number of live hosts at each write.
func recorderOptions(s configurer.Settings, live func() int) []recorder.Option {
	return []recorder.Option{
		recorder.WithCapacity(s.Limits.RecordDecisions),
		recorder.WithBudget(func() int { return s.Limits.RecordBytes / max(1, live()) }),
	}
}

// publicLimits returns the limits of the connections of callers or operators.
func publicLimits(s configurer.Settings) budgeter.Limits {
	return budgeter.Limits{
		Connections: s.Limits.Connections, Bytes: int64(s.Limits.ConnectionBytes), HeadBytes: maxHeaderBytes,
		HeadTimeout: headerTimeout, BodyTimeout: bodyTimeout, IdleTimeout: idleTimeout, AnswerTimeout: answerTimeout,
	}
}

// peerLimits returns the limits of the connections of other hosts.
func peerLimits(s configurer.Settings) budgeter.Limits {
	return budgeter.Limits{
		Connections: s.Limits.Connections, Bytes: int64(s.Limits.ConnectionBytes) / peerBytesShare,
		HeadBytes: maxPeerMessage, HeadTimeout: writeTimeout, AnswerTimeout: answerTimeout,
	}
}

func placesOf(settings []configurer.PlaceSettings) []primrosespar.Place {
	places := make([]primrosespar.Place, 0, len(settings))
	for _, p := range settings {
		places = append(places, p.Place)
	}
	return places
}

func tokensOf(s configurer.Settings) []authorizer.Token {
	var tokens []authorizer.Token
	for _, c := range s.Callers {
		tokens = append(tokens, authorizer.Token{Secret: string(c.Token), Role: authorizer.RoleCaller, Account: c.Account})
	}
	for _, o := range s.Operators {
		tokens = append(tokens, authorizer.Token{Secret: string(o.Token), Role: authorizer.RoleOperator, Name: o.Operator})
	}
	return tokens
}
