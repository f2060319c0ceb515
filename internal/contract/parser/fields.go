package parser

import (
	"strings"
	"time"

	"primrosespar.example/primrosespar/internal/document/decoder"
)

// Bounds of the values in a contract. The bounds on blocks and gangs are
// derived from the target of 5,400 accelerators. Those on rates are derived
// from the several hundred writes per second that the store supports, with a
// margin for requests that need no write.
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

// Fields returns the description of all keys of a contract document.
func Fields() []decoder.Field {
	return []decoder.Field{
		nameField("account", "Name of the client account."),
		{Key: "public_name", Kind: decoder.Text, Required: true, Min: 1, Max: maxPublicNameLength, Help: "Name of the account in published incident reports."},
		{Key: "weight", Kind: decoder.Integer, Default: "1", Min: 1, Max: maxWeight, Help: "Share of idle capacity relative to other accounts."},
		{Key: "max_accelerators", Kind: decoder.Integer, Unit: "accelerators", Required: true, Max: maxAccelerators, Help: "Maximum number of accelerators that the account holds at once in all places, claimed and borrowed together."},
		{Key: "retention", Kind: decoder.Duration, Default: "24h", Min: float64(minRetention), Max: float64(maxRetention), Help: "How long claims and answers are kept for callers that retry."},
		{Key: "places", Kind: decoder.Tables, Required: true, Min: 1, Max: maxPlaces, Help: "Places that serve the account.", Fields: []decoder.Field{
			nameField("place", "Name of the place."),
			{Key: "share", Kind: decoder.Integer, Required: true, Min: 1, Max: maxShare, Help: "Part of the rates and the concurrency that the place serves, relative to the sum of the shares of all places."},
		}},
		{Key: "classes", Kind: decoder.Tables, Required: true, Min: 1, Max: maxClasses, Help: "Classes of work.", Fields: classFields()},
		{Key: "guarantees", Kind: decoder.Tables, Max: maxGuarantees, Help: "Blocks of adjacent accelerators that the account can claim at any time.", Fields: []decoder.Field{
			nameField("place", "Place of the guarantee."),
			{Key: "block", Kind: decoder.Integer, Unit: "accelerators", Required: true, Min: 1, Max: maxBlock, Help: "Number of adjacent accelerators in one rack; a power of two."},
			{Key: "count", Kind: decoder.Integer, Unit: "blocks", Required: true, Min: 1, Max: maxBlockCount, Help: "Number of blocks."},
		}},
	}
}

// classFields returns the description of the keys of one class.
func classFields() []decoder.Field {
	return []decoder.Field{
		nameField("class", "Name of the class."),
		{Key: "kind", Kind: decoder.Text, Required: true, Choices: []string{"request", "gang"}, Help: "A request is sent to an upstream; a gang runs on workers."},
		{Key: "idempotent", Kind: decoder.Boolean, Required: true, Help: "Whether the work may be repeated."},
		{Key: "urgent", Kind: decoder.Boolean, Default: "false", Help: "Whether the work preempts borrowed work and is served first."},
		{Key: "preemptible", Kind: decoder.Boolean, Default: "false", Help: "Whether the work may run on borrowed capacity, where it can be preempted."},
		{Key: "deadline", Kind: decoder.Duration, Required: true, Min: float64(minDeadline), Max: float64(maxDeadline), Help: "Maximum time from arrival to the complete answer or the end of the job."},
		{Key: "lateness_cost", Kind: decoder.Integer, Default: "1", Min: 1, Max: maxLatenessCost, Help: "Cost of a late answer relative to other classes."},
		{Key: "rate_per_second", Kind: decoder.Number, Unit: "admissions/s", Required: true, Max: maxRate, Help: "Maximum rate of admissions in all places together."},
		{Key: "burst", Kind: decoder.Integer, Unit: "admissions", Default: "1", Min: 1, Max: maxBurst, Help: "Maximum number of admissions at once after an idle period."},
		{Key: "concurrency", Kind: decoder.Integer, Unit: "requests or gangs", Required: true, Min: 1, Max: maxConcurrency, Help: "Maximum number of requests in flight or running gangs in all places together."},
		{Key: "queue", Kind: decoder.Integer, Unit: "requests or jobs", Default: "0", Max: maxQueue, Help: "Maximum number of requests or jobs that wait at one host."},
		{Key: "offline", Kind: decoder.Table, Help: "What one place may serve while it cannot reach the table.", Fields: []decoder.Field{
			{Key: "rate_per_second", Kind: decoder.Number, Unit: "admissions/s", Default: "0", Max: maxRate, Help: "Maximum rate of one place; at most the part of the rate that belongs to the place with the smallest share."},
			{Key: "concurrency", Kind: decoder.Integer, Unit: "requests", Default: "0", Max: maxConcurrency, Help: "Maximum concurrency of one place; at most the part of the concurrency that belongs to the place with the smallest share."},
		}},
	}
}

// nameField describes a key whose value is a name. Names are parts of row keys
// and paths, so they must not contain a slash.
func nameField(key, help string) decoder.Field {
	return decoder.Field{Key: key, Kind: decoder.Text, Required: true, Min: 1, Max: maxNameLength, Check: CheckName, Help: help + " Lower-case letters, digits, `-` and `_`."}
}

// CheckName returns a description of valid names if the text is not a valid
// name, and an empty string otherwise.
func CheckName(text string) string {
	const allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_"
	if strings.Trim(text, allowed) != "" || strings.HasPrefix(text, "-") {
		return "a name of lower-case letters, digits, - and _"
	}
	return ""
}
