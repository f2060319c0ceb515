package decoder

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds describes the values that the field takes.
func (f Field) Bounds() string {
	if len(f.Choices) > 0 {
		return strings.Join(f.Choices, ", ")
	}
	if f.Max == 0 {
		return ""
	}
	switch f.Kind {
	case Duration:
		return time.Duration(f.Min).String() + " to " + time.Duration(f.Max).String()
	case Text:
		return plainNumber(f.Min) + " to " + plainNumber(f.Max) + " characters"
	case Texts, Tables:
		return plainNumber(f.Min) + " to " + plainNumber(f.Max) + " entries"
	default:
		return plainNumber(f.Min) + " to " + plainNumber(f.Max)
	}
}

// plainNumber writes a number without an exponent.
func plainNumber(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// Manual returns a Markdown table of the fields, nested ones after them.
func Manual(fields []Field) string {
	var b strings.Builder
	b.WriteString("| key | type | unit | default | bounds | meaning |\n|---|---|---|---|---|---|\n")
	manualRows(&b, fields, "")
	return b.String()
}

// manualRows writes one row for each field.
func manualRows(b *strings.Builder, fields []Field, path string) {
	for _, f := range fields {
		standard := f.Default
		if f.Required {
			standard = "required"
		}
		key := join(path, f.Key)
		if f.Kind == Tables {
			key += "[]"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", key, f.Kind, f.Unit, standard, f.Bounds(), f.Help)
		manualRows(b, f.Fields, key)
	}
}
