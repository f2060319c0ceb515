package parser

import "primrosespar.example/primrosespar/internal/document/decoder"

// Manual returns docs/contract.md.
func Manual() string {
	return "# Contract\n\n" +
		"One TOML document of at most 64 KiB per client account. Durations are strings such as `\"9.3s\"`. " +
		"Generated from the parser's table; do not edit.\n\n" +
		decoder.Manual(Fields()) +
		"\nFurther rules:\n\n" +
		"- Places, classes and pairs of guarantee place and block are unique.\n" +
		"- The place of a guarantee is among `places`, and `max_accelerators` is at least the sum of all guarantees.\n" +
		"- The offline terms of a class are at most the smallest share of a place, so that all places together stay within the class when each is cut off. They are zero for a gang class.\n"
}
