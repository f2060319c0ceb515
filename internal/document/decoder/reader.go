package decoder

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// shownValue bounds the part of a wrong value that a message repeats.
const shownValue = 60

// reader converts raw tables and collects faults.
type reader struct {
	lines  lineIndex
	faults FieldErrors
}

// fault adds a fault at the path.
func (d *reader) fault(path, format string, args ...any) {
	d.faults = append(d.faults, FieldError{Field: path, Line: d.lines.of(path), Message: fmt.Sprintf(format, args...)})
}

// table converts one table.
func (d *reader) table(raw map[string]any, fields []Field, path string) Tree {
	tree := Tree{values: map[string]any{}, path: path, lines: d.lines}
	known := map[string]bool{}
	for _, f := range fields {
		known[f.Key] = true
		value, found := raw[f.Key]
		if !found {
			d.absent(tree, f)
			continue
		}
		if converted, ok := d.value(value, f, join(path, f.Key)); ok {
			tree.values[f.Key] = converted
		}
	}
	for key := range raw {
		if !known[key] {
			d.fault(join(path, key), "unknown key; the nearest known key is %q", nearest(key, fields))
		}
	}
	return tree
}

// absent fills in the default of a field or reports that it is required.
func (d *reader) absent(tree Tree, f Field) {
	path := join(tree.path, f.Key)
	switch {
	case f.Required:
		d.fault(path, "missing; a %s is required", f.Kind)
	case f.Kind == Table:
		tree.values[f.Key] = d.table(nil, f.Fields, path)
	case f.Default != "":
		if value, ok := d.value(f.defaultValue(), f, path); ok {
			tree.values[f.Key] = value
		}
	}
}

// defaultValue converts the default to the type that the TOML library gives.
func (f Field) defaultValue() any {
	switch f.Kind {
	case Integer:
		n, _ := strconv.ParseInt(f.Default, 10, 64)
		return n
	case Number:
		n, _ := strconv.ParseFloat(f.Default, 64)
		return n
	case Boolean:
		return f.Default == "true"
	default:
		return f.Default
	}
}

// value converts one value.
func (d *reader) value(raw any, f Field, path string) (any, bool) {
	switch f.Kind {
	case Text:
		return d.text(raw, f, path)
	case Integer:
		n, ok := raw.(int64)
		return n, d.typed(ok, raw, f, path) && d.bounded(float64(n), raw, f, path)
	case Number:
		n, ok := number(raw)
		return n, d.typed(ok, raw, f, path) && d.bounded(n, raw, f, path)
	case Boolean:
		b, ok := raw.(bool)
		return b, d.typed(ok, raw, f, path)
	case Duration:
		return d.span(raw, f, path)
	case Texts:
		return d.texts(raw, f, path)
	case Table:
		m, ok := raw.(map[string]any)
		if !d.typed(ok, raw, f, path) {
			return nil, false
		}
		return d.table(m, f.Fields, path), true
	case Tables:
		return d.tables(raw, f, path)
	}
	return nil, false
}

// typed reports a value of the wrong type.
func (d *reader) typed(ok bool, raw any, f Field, path string) bool {
	if !ok {
		d.fault(path, "%s is %s, %s is required", f.show(raw), article(typeName(raw)), article(string(f.Kind)))
	}
	return ok
}

// bounded reports a number outside its bounds; NaN is outside all bounds.
func (d *reader) bounded(n float64, raw any, f Field, path string) bool {
	if n >= f.Min && n <= f.Max {
		return true
	}
	d.fault(path, "%s is out of range; the bounds are %s", f.show(raw), f.Bounds())
	return false
}

// text converts a string.
func (d *reader) text(raw any, f Field, path string) (any, bool) {
	s, ok := raw.(string)
	if !d.typed(ok, raw, f, path) {
		return nil, false
	}
	if f.Max > 0 && !d.bounded(float64(len([]rune(s))), raw, f, path) {
		return nil, false
	}
	if strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) >= 0 {
		d.fault(path, "%s has characters that cannot be printed", f.show(raw))
		return nil, false
	}
	if len(f.Choices) > 0 && !contains(f.Choices, s) {
		d.fault(path, "%s is not one of %s", f.show(raw), strings.Join(f.Choices, ", "))
		return nil, false
	}
	if f.Check != nil && s != "" {
		if want := f.Check(s); want != "" {
			d.fault(path, "%s is not %s", f.show(raw), want)
			return nil, false
		}
	}
	return s, true
}

// span converts a duration.
func (d *reader) span(raw any, f Field, path string) (any, bool) {
	s, ok := raw.(string)
	if !d.typed(ok, raw, f, path) {
		return nil, false
	}
	span, err := time.ParseDuration(s)
	if err != nil {
		d.fault(path, "%s is not a duration such as \"9.3s\"", f.show(raw))
		return nil, false
	}
	return span, d.bounded(float64(span), raw, f, path)
}

// texts converts a list of strings.
func (d *reader) texts(raw any, f Field, path string) (any, bool) {
	list, ok := raw.([]any)
	if !d.typed(ok, raw, f, path) || !d.bounded(float64(len(list)), raw, f, path) {
		return nil, false
	}
	item := f
	item.Kind, item.Max = Text, 0
	var texts []string
	for i, entry := range list {
		s, ok := d.text(entry, item, fmt.Sprintf("%s[%d]", path, i))
		if !ok {
			return nil, false
		}
		texts = append(texts, s.(string))
	}
	return texts, true
}

// tables converts a list of tables.
func (d *reader) tables(raw any, f Field, path string) (any, bool) {
	var list []map[string]any
	switch v := raw.(type) {
	case []map[string]any:
		list = v
	case []any:
		for _, entry := range v {
			m, ok := entry.(map[string]any)
			if !d.typed(ok, entry, f, path) {
				return nil, false
			}
			list = append(list, m)
		}
	default:
		return nil, d.typed(false, raw, f, path)
	}
	if n := float64(len(list)); n < f.Min || n > f.Max {
		d.fault(path, "%d entries; the bounds are %s", len(list), f.Bounds())
	}
	var trees []Tree
	for i, m := range list {
		trees = append(trees, d.table(m, f.Fields, fmt.Sprintf("%s[%d]", path, i)))
	}
	return trees, true
}

// number accepts an integer where a number is required.
func number(raw any) (float64, bool) {
	switch n := raw.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

// typeName names the type of a raw value.
func typeName(raw any) string {
	switch raw.(type) {
	case string:
		return "string"
	case int64:
		return "integer"
	case float64:
		return "number"
	case bool:
		return "boolean"
	case time.Time:
		return "date"
	case map[string]any:
		return "table"
	default:
		return "list"
	}
}

// show returns a short form of a raw value.
func (f Field) show(raw any) string {
	if f.Secret {
		return "the value"
	}
	text := fmt.Sprint(raw)
	if s, ok := raw.(string); ok {
		text = strconv.Quote(s)
	}
	if r := []rune(text); len(r) > shownValue {
		text = string(r[:shownValue]) + "..."
	}
	return text
}

// contains reports whether the list has the text.
func contains(list []string, text string) bool {
	for _, s := range list {
		if s == text {
			return true
		}
	}
	return false
}

// article puts the indefinite article before a noun.
func article(noun string) string {
	if noun != "" && strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}
