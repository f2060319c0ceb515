package parser

import (
	"strings"
	"time"

	"primrosespar.example/primrosespar/internal/document/decoder"
)

// Bounds of a contract. The largest block and gang figures follow the target
// of 5,400 accelerators; rates follow the store's several hundred writes a
// second with room for requests that need no write.
const (
	maxNameLength       = 63
	maxPublicNameLength = 80
	maxWeight           = 1000
	maxAccelerators     = 100_000
	maxPlaces           = 64
	maxShare            = 1000
	maxClasses          = 64
	maxLatenessCost     = 1000
	maxRate             = 100_000
	maxBurst            = 100_000
	maxConcurrency      = 100_000
	maxQueue            = 100_000
	maxGuarantees       = 256
	maxBlock            = 4096
	maxBlockCount       = 4096
	minRetention        = time.Minute
	maxRetention        = 30 * 24 * time.Hour
	minDeadline         = time.Millisecond
	maxDeadline         = 30 * 24 * time.Hour
)

// Fields returns the table of all keys of a contract document.
func Fields() []decoder.Field {
	return []decoder.Field{
		nameField("account", "Name of the client account."),
		{Key: "public_name", Kind: decoder.Text, Required: true, Min: 1, Max: maxPublicNameLength, Help: "Name of the account in published incident reports."},
		{Key: "weight", Kind: decoder.Integer, Default: "1", Min: 1, Max: maxWeight, Help: "Share of idle capacity against other accounts."},
		{Key: "max_accelerators", Kind: decoder.Integer, Unit: "accelerators", Required: true, Max: maxAccelerators, Help: "Bound on what the account holds at once in all places, claimed and borrowed together."},
		{Key: "retention", Kind: decoder.Duration, Default: "24h", Min: float64(minRetention), Max: float64(maxRetention), Help: "How long claims and answers are kept for callers that retry."},
		{Key: "places", Kind: decoder.Tables, Required: true, Min: 1, Max: maxPlaces, Help: "Places that serve the account.", Fields: []decoder.Field{
			nameField("place", "Name of the place."),
			{Key: "share", Kind: decoder.Integer, Required: true, Min: 1, Max: maxShare, Help: "Part of rates and concurrency that the place serves, in shares of the sum over all places."},
		}},
		{Key: "classes", Kind: decoder.Tables, Required: true, Min: 1, Max: maxClasses, Help: "Classes of work.", Fields: classFields()},
		{Key: "guarantees", Kind: decoder.Tables, Max: maxGuarantees, Help: "Blocks of adjacent accelerators that can always be claimed.", Fields: []decoder.Field{
			nameField("place", "Place that keeps the guarantee."),
			{Key: "block", Kind: decoder.Integer, Unit: "accelerators", Required: true, Min: 1, Max: maxBlock, Help: "Adjacent accelerators in one rack; a power of two."},
			{Key: "count", Kind: decoder.Integer, Unit: "blocks", Required: true, Min: 1, Max: maxBlockCount, Help: "Number of blocks."},
		}},
	}
}

// classFields returns the keys of one class.
func classFields() []decoder.Field {
	return []decoder.Field{
		nameField("class", "Name of the class."),
		{Key: "kind", Kind: decoder.Text, Required: true, Choices: []string{"request", "gang"}, Help: "A request goes to a service runner, a gang runs on workers."},
		{Key: "idempotent", Kind: decoder.Boolean, Required: true, Help: "Whether the work may be repeated."},
		{Key: "urgent", Kind: decoder.Boolean, Default: "false", Help: "Urgent work preempts borrowed capacity and is served first."},
		{Key: "preemptible", Kind: decoder.Boolean, Default: "false", Help: "Preemptible work may run on borrowed capacity."},
		{Key: "deadline", Kind: decoder.Duration, Required: true, Min: float64(minDeadline), Max: float64(maxDeadline), Help: "Time from arrival to the whole answer or the end of the job."},
		{Key: "lateness_cost", Kind: decoder.Integer, Default: "1", Min: 1, Max: maxLatenessCost, Help: "Weight of a late answer against other classes."},
		{Key: "rate_per_second", Kind: decoder.Number, Unit: "admissions/s", Required: true, Max: maxRate, Help: "Bound on admissions in all places together."},
		{Key: "burst", Kind: decoder.Integer, Unit: "admissions", Default: "1", Min: 1, Max: maxBurst, Help: "Admissions above the rate after an idle time."},
		{Key: "concurrency", Kind: decoder.Integer, Unit: "requests or gangs", Required: true, Min: 1, Max: maxConcurrency, Help: "Bound on requests in flight or gangs running in all places together."},
		{Key: "queue", Kind: decoder.Integer, Unit: "requests or jobs", Default: "0", Max: maxQueue, Help: "Bound on requests or jobs that wait at one host."},
		{Key: "offline", Kind: decoder.Table, Help: "What one place may serve while it is cut off from the table.", Fields: []decoder.Field{
			{Key: "rate_per_second", Kind: decoder.Number, Unit: "admissions/s", Default: "0", Max: maxRate, Help: "Rate of one place; at most the smallest share of a place in the rate."},
			{Key: "concurrency", Kind: decoder.Integer, Unit: "requests", Default: "0", Max: maxConcurrency, Help: "Concurrency of one place; at most the smallest share of a place in the concurrency."},
		}},
	}
}

// nameField describes a key that holds a name. Names stand in row keys and paths,
// therefore they hold no slash.
func nameField(key, help string) decoder.Field {
	return decoder.Field{Key: key, Kind: decoder.Text, Required: true, Min: 1, Max: maxNameLength, Check: CheckName, Help: help + " Lower-case letters, digits, `-` and `_`."}
}

// CheckName returns what a valid name looks like, or nothing for a valid one.
func CheckName(text string) string {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	if strings.Trim(text, allowed) != "" || strings.HasPrefix(text, "-") {
		return "a name of lower-case letters, digits, - and _"
	}
	return ""
}
