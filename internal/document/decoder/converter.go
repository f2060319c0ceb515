package decoder

import (
	"fmt"
	"strconv"
	"strings"
	"time"
	"unicode"
)

// maxShownValue is the maximum number of characters of an invalid value that an
// error message shows.
const maxShownValue = 60

// converter converts the values that the TOML library returns, called raw
// values, and collects errors.
type converter struct {
	lines lineIndex
	errs  FieldErrors
}

// addError adds an error about the path.
func (c *converter) addError(path, format string, args ...any) {
	c.errs = append(c.errs, FieldError{Field: path, Line: c.lines.line(path), Message: fmt.Sprintf(format, args...)})
}

// table converts a table.
func (c *converter) table(raw map[string]any, fields []Field, path string) Tree {
	tree := Tree{values: map[string]any{}, path: path, lines: c.lines}
	known := map[string]bool{}
	for _, f := range fields {
		known[f.Key] = true
		value, found := raw[f.Key]
		if !found {
			c.applyDefault(tree, f)
			continue
		}
		if converted, ok := c.value(value, f, join(path, f.Key)); ok {
			tree.values[f.Key] = converted
		}
	}
	for key := range raw {
		if !known[key] {
			c.addError(join(path, key), "unknown key; the nearest known key is %q", nearestKey(key, fields))
		}
	}
	return tree
}

// applyDefault sets the default of a missing field, or reports that the field
// is required.
func (c *converter) applyDefault(tree Tree, f Field) {
	path := join(tree.path, f.Key)
	switch {
	case f.Required:
		c.addError(path, "missing; a %s is required", f.Kind)
	case f.Kind == Table:
		tree.values[f.Key] = c.table(nil, f.Fields, path)
	case f.Default != "":
		if value, ok := c.value(f.defaultValue(), f, path); ok {
			tree.values[f.Key] = value
		}
	}
}

// defaultValue returns the default as a raw value.
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

// value converts a value to the type of the field, and reports whether it is
// valid.
func (c *converter) value(raw any, f Field, path string) (any, bool) {
	switch f.Kind {
	case Text:
		return c.text(raw, f, path)
	case Integer:
		n, ok := raw.(int64)
		return n, c.checkType(ok, raw, f, path) && c.checkBounds(float64(n), raw, f, path)
	case Number:
		n, ok := toFloat(raw)
		return n, c.checkType(ok, raw, f, path) && c.checkBounds(n, raw, f, path)
	case Boolean:
		b, ok := raw.(bool)
		return b, c.checkType(ok, raw, f, path)
	case Duration:
		return c.duration(raw, f, path)
	case Texts:
		return c.texts(raw, f, path)
	case Table:
		m, ok := raw.(map[string]any)
		if !c.checkType(ok, raw, f, path) {
			return nil, false
		}
		return c.table(m, f.Fields, path), true
	case Tables:
		return c.tables(raw, f, path)
	}
	return nil, false
}

// checkType adds an error unless ok, which says that the value has the right
// type. It returns ok.
func (c *converter) checkType(ok bool, raw any, f Field, path string) bool {
	if !ok {
		c.addError(path, "%s is %s, %s is required", f.showValue(raw), withArticle(typeName(raw)), withArticle(string(f.Kind)))
	}
	return ok
}

// checkBounds adds an error unless n is within the bounds of the field, and
// reports whether it is. NaN is outside all bounds.
func (c *converter) checkBounds(n float64, raw any, f Field, path string) bool {
	if n >= f.Min && n <= f.Max {
		return true
	}
	c.addError(path, "%s is out of range; the bounds are %s", f.showValue(raw), f.Bounds())
	return false
}

// text converts a string.
func (c *converter) text(raw any, f Field, path string) (any, bool) {
	s, ok := raw.(string)
	if !c.checkType(ok, raw, f, path) {
		return nil, false
	}
	if f.Max > 0 && !c.checkBounds(float64(len([]rune(s))), raw, f, path) {
		return nil, false
	}
	if strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) >= 0 {
		c.addError(path, "%s contains characters that cannot be printed", f.showValue(raw))
		return nil, false
	}
	if len(f.Choices) > 0 && !contains(f.Choices, s) {
		c.addError(path, "%s is not one of %s", f.showValue(raw), strings.Join(f.Choices, ", "))
		return nil, false
	}
	if f.Check != nil && s != "" {
		if want := f.Check(s); want != "" {
			c.addError(path, "%s is not %s", f.showValue(raw), want)
			return nil, false
		}
	}
	return s, true
}

// duration converts a duration.
func (c *converter) duration(raw any, f Field, path string) (any, bool) {
	s, ok := raw.(string)
	if !c.checkType(ok, raw, f, path) {
		return nil, false
	}
	duration, err := time.ParseDuration(s)
	if err != nil {
		c.addError(path, "%s is not a duration such as \"9.3s\"", f.showValue(raw))
		return nil, false
	}
	return duration, c.checkBounds(float64(duration), raw, f, path)
}

// texts converts a list of strings.
func (c *converter) texts(raw any, f Field, path string) (any, bool) {
	list, ok := raw.([]any)
	if !c.checkType(ok, raw, f, path) || !c.checkBounds(float64(len(list)), raw, f, path) {
		return nil, false
	}
	element := f
	element.Kind, element.Max = Text, 0
	var texts []string
	for i, entry := range list {
		s, ok := c.text(entry, element, fmt.Sprintf("%s[%d]", path, i))
		if !ok {
			return nil, false
		}
		texts = append(texts, s.(string))
	}
	return texts, true
}

// tables converts a list of tables.
func (c *converter) tables(raw any, f Field, path string) (any, bool) {
	var list []map[string]any
	switch v := raw.(type) {
	case []map[string]any:
		list = v
	case []any:
		for _, entry := range v {
			m, ok := entry.(map[string]any)
			if !c.checkType(ok, entry, f, path) {
				return nil, false
			}
			list = append(list, m)
		}
	default:
		return nil, c.checkType(false, raw, f, path)
	}
	if n := float64(len(list)); n < f.Min || n > f.Max {
		c.addError(path, "%d entries; the bounds are %s", len(list), f.Bounds())
	}
	var trees []Tree
	for i, m := range list {
		trees = append(trees, c.table(m, f.Fields, fmt.Sprintf("%s[%d]", path, i)))
	}
	return trees, true
}

// toFloat converts a number, which may be an integer.
func toFloat(raw any) (float64, bool) {
	switch n := raw.(type) {
	case float64:
		return n, true
	case int64:
		return float64(n), true
	}
	return 0, false
}

// typeName returns the name of the type of a raw value.
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

// showValue formats a raw value for an error message. It truncates long values
// and hides secret ones.
func (f Field) showValue(raw any) string {
	if f.Secret {
		return "the value"
	}
	text := fmt.Sprint(raw)
	if s, ok := raw.(string); ok {
		text = strconv.Quote(s)
	}
	if r := []rune(text); len(r) > maxShownValue {
		text = string(r[:maxShownValue]) + "..."
	}
	return text
}

// contains reports whether the text is in the list.
func contains(list []string, text string) bool {
	for _, s := range list {
		if s == text {
			return true
		}
	}
	return false
}

// withArticle returns the noun with its indefinite article.
func withArticle(noun string) string {
	if noun != "" && strings.ContainsRune("aeiou", rune(noun[0])) {
		return "an " + noun
	}
	return "a " + noun
}
