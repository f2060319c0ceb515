// Package parser converts contracts from and to TOML documents. It reports all
// errors of a document at once.
//
// # Usage
//
//	contract, err := parser.Parse(document)
//	text, err := parser.Canonical(contract)
package parser

import (
	"fmt"

	"primrosespar.example/primrosespar"
	"primrosespar.example/primrosespar/internal/document/decoder"
)

// Parse returns the contract in the document. The error is a Failure with
// CodeContractInvalid whose cause is decoder.FieldErrors.
func Parse(document []byte) (primrosespar.Contract, error) {
	tree, errs := decoder.Decode(document, Fields())
	var contract primrosespar.Contract
	if len(errs) == 0 {
		contract = convert(tree)
	}
	errs = append(errs, validate(tree)...)
	if len(errs) > 0 {
		errs.Sort()
		return primrosespar.Contract{}, primrosespar.Fail(primrosespar.CodeContractInvalid,
			"%d errors", len(errs)).WithCause(errs)
	}
	return contract, nil
}

// convert returns the contract in a tree without errors.
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

// convertClass returns the terms of one class.
func convertClass(class decoder.Tree) primrosespar.ClassTerms {
	offline := class.Table("offline")
	return primrosespar.ClassTerms{
		Class:         primrosespar.Class(class.Text("class")),
		Kind:          primrosespar.ClassKind(class.Text("kind")),
		Idempotent:    class.Bool("idempotent"),
		Urgent:        class.Bool("urgent"),
		Preemptible:   class.Bool("preemptible"),
		Deadline:      class.Duration("deadline"),
		LatenessCost:  class.Int("lateness_cost"),
		RatePerSecond: class.Float("rate_per_second"),
		Burst:         class.Int("burst"),
		Concurrency:   class.Int("concurrency"),
		Queue:         class.Int("queue"),
		Offline: primrosespar.OfflineTerms{
			RatePerSecond: offline.Float("rate_per_second"),
			Concurrency:   offline.Int("concurrency"),
		},
	}
}

// validate reports errors that involve more than one field.
func validate(tree decoder.Tree) decoder.FieldErrors {
	var errs decoder.FieldErrors
	errs = append(errs, duplicates(tree.Tables("places"), "place")...)
	errs = append(errs, duplicates(tree.Tables("classes"), "class")...)
	for _, class := range tree.Tables("classes") {
		errs = append(errs, checkOffline(class, tree.Tables("places"))...)
	}
	return append(errs, checkGuarantees(tree)...)
}

// duplicates reports tables that have the same value of the key as an earlier
// one.
func duplicates(tables []decoder.Tree, key string) decoder.FieldErrors {
	var errs decoder.FieldErrors
	seen := map[string]bool{}
	for _, table := range tables {
		name := table.Text(key)
		if name != "" && seen[name] {
			errs = append(errs, table.FieldError(key, "%q appears more than once", name))
		}
		seen[name] = true
	}
	return errs
}

// checkOffline reports offline terms above the part of the class's limits that
// belongs to the place with the smallest share. Otherwise all places together
// could exceed the limits when none of them can reach the table.
func checkOffline(class decoder.Tree, places []decoder.Tree) decoder.FieldErrors {
	var errs decoder.FieldErrors
	offline := class.Table("offline")
	rate, concurrency := offline.Float("rate_per_second"), offline.Int("concurrency")
	if class.Text("kind") == string(primrosespar.KindGang) && (rate > 0 || concurrency > 0) {
		return decoder.FieldErrors{offline.FieldError("", "a gang class cannot have offline terms, because a place that cannot reach the table places no gangs")}
	}
	if (rate > 0) != (concurrency > 0) {
		errs = append(errs, offline.FieldError("", "rate_per_second and concurrency must be both zero or both above zero"))
	}
	minShare, totalShare := 0, 0
	for _, p := range places {
		if !p.Has("share") {
			return errs
		}
		share := p.Int("share")
		totalShare += share
		if minShare == 0 || share < minShare {
			minShare = share
		}
	}
	if totalShare == 0 {
		return errs
	}
	if limit := class.Float("rate_per_second") * float64(minShare) / float64(totalShare); class.Has("rate_per_second") && rate > limit {
		errs = append(errs, offline.FieldError("rate_per_second", "%v is above %v, the part of the rate that belongs to the place with the smallest share", rate, limit))
	}
	if limit := class.Int("concurrency") * minShare / totalShare; class.Has("concurrency") && concurrency > limit {
		errs = append(errs, offline.FieldError("concurrency", "%d is above %d, the part of the concurrency that belongs to the place with the smallest share", concurrency, limit))
	}
	return errs
}

// checkGuarantees reports guarantees that are invalid, appear more than once or
// contradict other fields.
func checkGuarantees(tree decoder.Tree) decoder.FieldErrors {
	var errs decoder.FieldErrors
	places := map[string]bool{}
	for _, p := range tree.Tables("places") {
		places[p.Text("place")] = true
	}
	seen := map[string]bool{}
	guaranteed := 0
	for _, g := range tree.Tables("guarantees") {
		place, block := g.Text("place"), g.Int("block")
		if block > 0 && block&(block-1) != 0 {
			errs = append(errs, g.FieldError("block", "%d is not a power of two", block))
		}
		if place != "" && !places[place] {
			errs = append(errs, g.FieldError("place", "%q is not among the places of the contract", place))
		}
		if id := fmt.Sprintf("%s/%d", place, block); place != "" && block > 0 {
			if seen[id] {
				errs = append(errs, g.FieldError("block", "%d appears more than once for place %q", block, place))
			}
			seen[id] = true
		}
		guaranteed += block * g.Int("count")
	}
	if limit := tree.Int("max_accelerators"); guaranteed > limit && tree.Has("max_accelerators") {
		errs = append(errs, tree.FieldError("max_accelerators", "%d is below %d, the sum of the guarantees", limit, guaranteed))
	}
	return errs
}
