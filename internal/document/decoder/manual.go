package decoder

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds describes the valid values of the field, or returns an empty string if
// they have no bounds.
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
		return formatNumber(f.Min) + " to " + formatNumber(f.Max) + " characters"
	case Texts, Tables:
		return formatNumber(f.Min) + " to " + formatNumber(f.Max) + " entries"
	default:
		return formatNumber(f.Min) + " to " + formatNumber(f.Max)
	}
}

// formatNumber formats a number without an exponent.
func formatNumber(n float64) string {
	return strconv.FormatFloat(n, 'f', -1, 64)
}

// Manual returns a Markdown table of the fields. Each field is followed by its
// nested fields.
func Manual(fields []Field) string {
	var b strings.Builder
	b.WriteString("| key | type | unit | default | bounds | meaning |\n|---|---|---|---|---|---|\n")
	writeRows(&b, fields, "")
	return b.String()
}

// writeRows writes one table row for each field and nested field.
func writeRows(b *strings.Builder, fields []Field, path string) {
	for _, f := range fields {
		defaultText := f.Default
		if f.Required {
			defaultText = "required"
		}
		key := join(path, f.Key)
		if f.Kind == Tables {
			key += "[]"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", key, f.Kind, f.Unit, defaultText, f.Bounds(), f.Help)
		writeRows(b, f.Fields, key)
	}
}
