package parser

import "primrosespar.example/primrosespar/internal/document/decoder"

// Manual returns the content of docs/contract.md.
func Manual() string {
	return "# Contract\n\n" +
		"One TOML document of at most 64 KiB per client account. Durations are strings such as `\"9.3s\"`. " +
		"Generated from the parser's field descriptions; do not edit.\n\n" +
		decoder.Manual(Fields()) +
		"\nFurther rules:\n\n" +
		"- The names of places and of classes are unique, and so are the pairs of `place` and `block` of guarantees.\n" +
		"- The place of a guarantee is among `places`, and `max_accelerators` is at least the sum of all guarantees.\n" +
		"- The offline terms of a class are at most the part of its limits that belongs to the place with the smallest share, so that all places together stay within the limits when none of them can reach the table. They are zero for a gang class.\n"
}
