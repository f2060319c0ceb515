// Package parser converts a contract document in TOML to a contract and back.
// All errors of a document are reported at once.
//
// # Usage
//
//	contract, err := parser.Parse(document)
//	text := parser.Canonical(contract)
package parser

import (
	"fmt"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/document/decoder"
)

// Parse returns the contract of the document. The error is a Failure with
// CodeContractInvalid whose cause is decoder.FieldErrors.
func Parse(document []byte) (primrosespar.Contract, error) {
	tree, faults := decoder.Decode(document, Fields())
	var contract primrosespar.Contract
	if len(faults) == 0 {
		contract = convert(tree)
	}
	faults = append(faults, check(tree)...)
	if len(faults) > 0 {
		faults.Sort()
		return primrosespar.Contract{}, primrosespar.Fail(primrosespar.CodeContractInvalid,
			"%d errors", len(faults)).WithCause(faults)
	}
	return contract, nil
}

// convert builds the contract from a tree without faults.
func convert(tree decoder.Tree) primrosespar.Contract {
	c := primrosespar.Contract{
		Account:         primrosespar.Account(tree.Text("account")),
		PublicName:      tree.Text("public_name"),
		Weight:          tree.Int("weight"),
		MaxAccelerators: tree.Int("max_accelerators"),
		Retention:       tree.Duration("retention"),
	}
	for _, p := range tree.Tables("places") {
		c.Places = append(c.Places, primrosespar.PlaceShare{
			Place: primrosespar.Place(p.Text("place")),
			Share: p.Int("share"),
		})
	}
	for _, t := range tree.Tables("classes") {
		c.Classes = append(c.Classes, convertClass(t))
	}
	for _, g := range tree.Tables("guarantees") {
		c.Guarantees = append(c.Guarantees, primrosespar.Guarantee{
			Place: primrosespar.Place(g.Text("place")),
			Block: g.Int("block"),
			Count: g.Int("count"),
		})
	}
	return c
}

// convertClass builds the terms of one class.
func convertClass(t decoder.Tree) primrosespar.ClassTerms {
	offline := t.Table("offline")
	return primrosespar.ClassTerms{
		Class:         primrosespar.Class(t.Text("class")),
		Kind:          primrosespar.ClassKind(t.Text("kind")),
		Idempotent:    t.Bool("idempotent"),
		Urgent:        t.Bool("urgent"),
		Preemptible:   t.Bool("preemptible"),
		Deadline:      t.Duration("deadline"),
		LatenessCost:  t.Int("lateness_cost"),
		RatePerSecond: t.Float("rate_per_second"),
		Burst:         t.Int("burst"),
		Concurrency:   t.Int("concurrency"),
		Queue:         t.Int("queue"),
		Offline: primrosespar.OfflineTerms{
			RatePerSecond: offline.Float("rate_per_second"),
			Concurrency:   offline.Int("concurrency"),
		},
	}
}

// check reports faults that concern more than one field.
func check(tree decoder.Tree) decoder.FieldErrors {
	var faults decoder.FieldErrors
	faults = append(faults, duplicates(tree.Tables("places"), "place")...)
	faults = append(faults, duplicates(tree.Tables("classes"), "class")...)
	for _, t := range tree.Tables("classes") {
		faults = append(faults, checkOffline(t, tree.Tables("places"))...)
	}
	return append(faults, checkGuarantees(tree)...)
}

// duplicates reports entries that repeat the key of an earlier one.
func duplicates(list []decoder.Tree, key string) decoder.FieldErrors {
	var faults decoder.FieldErrors
	seen := map[string]bool{}
	for _, t := range list {
		name := t.Text(key)
		if name != "" && seen[name] {
			faults = append(faults, t.FieldError(key, "%q stands twice", name))
		}
		seen[name] = true
	}
	return faults
}

// checkOffline keeps the offline terms within the smallest share of a place,
// because all places together may not exceed the class when each is cut off.
func checkOffline(t decoder.Tree, places []decoder.Tree) decoder.FieldErrors {
	var faults decoder.FieldErrors
	offline := t.Table("offline")
	rate, concurrency := offline.Float("rate_per_second"), offline.Int("concurrency")
	if t.Text("kind") == string(primrosespar.KindGang) && (rate > 0 || concurrency > 0) {
		return decoder.FieldErrors{offline.FieldError("", "a gang class has no offline terms; a place that is cut off places no gangs")}
	}
	if (rate > 0) != (concurrency > 0) {
		faults = append(faults, offline.FieldError("", "rate_per_second and concurrency must both be zero or both be above zero"))
	}
	least, total := 0, 0
	for _, p := range places {
		if !p.Has("share") {
			return faults
		}
		share := p.Int("share")
		total += share
		if least == 0 || share < least {
			least = share
		}
	}
	if total == 0 {
		return faults
	}
	if bound := t.Float("rate_per_second") * float64(least) / float64(total); t.Has("rate_per_second") && rate > bound {
		faults = append(faults, offline.FieldError("rate_per_second", "%v is above %v, the smallest share of a place in the rate", rate, bound))
	}
	if bound := t.Int("concurrency") * least / total; t.Has("concurrency") && concurrency > bound {
		faults = append(faults, offline.FieldError("concurrency", "%d is above %d, the smallest share of a place in the concurrency", concurrency, bound))
	}
	return faults
}

// checkGuarantees reports guarantees that contradict the rest.
func checkGuarantees(tree decoder.Tree) decoder.FieldErrors {
	var faults decoder.FieldErrors
	places := map[string]bool{}
	for _, p := range tree.Tables("places") {
		places[p.Text("place")] = true
	}
	seen := map[string]bool{}
	sum := 0
	for _, g := range tree.Tables("guarantees") {
		place, block := g.Text("place"), g.Int("block")
		if block > 0 && block&(block-1) != 0 {
			faults = append(faults, g.FieldError("block", "%d is not a power of two", block))
		}
		if place != "" && !places[place] {
			faults = append(faults, g.FieldError("place", "%q is not among the places of the contract", place))
		}
		if id := fmt.Sprintf("%s/%d", place, block); place != "" && block > 0 {
			if seen[id] {
				faults = append(faults, g.FieldError("block", "%d stands twice for place %q", block, place))
			}
			seen[id] = true
		}
		sum += block * g.Int("count")
	}
	if limit := tree.Int("max_accelerators"); sum > limit && tree.Has("max_accelerators") {
		faults = append(faults, tree.FieldError("max_accelerators", "%d is below %d, the sum of the guarantees", limit, sum))
	}
	return faults
}
