// Package decoder reads TOML documents against a table of fields and reports
// all faults at once. The same table describes the document in the manual, so
// that the two cannot differ.
//
// # Usage
//
//	fields := []decoder.Field{{Key: "weight", Kind: decoder.Integer, Min: 1, Max: 1000}}
//	tree, faults := decoder.Decode(data, fields)
//	if len(faults) > 0 {
//		return faults
//	}
//	weight := tree.Int("weight")
package decoder

import (
	"errors"
	"fmt"
	"sort"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/BurntSushi/toml"
)

// MaxBytes bounds a document.
const MaxBytes = 64 << 10

// Kind is the type of a field.
type Kind string

// Kinds of fields. A duration is a duration such as "9.3s".
const (
	Text     Kind = "string"
	Texts    Kind = "list of strings"
	Integer  Kind = "integer"
	Number   Kind = "number"
	Boolean  Kind = "boolean"
	Duration Kind = "duration"
	Table    Kind = "table"
	Tables   Kind = "list of tables"
)

// Field describes one key. Min and Max bound the value of an Integer, Number or
// Duration (in nanoseconds), the characters of a Text and the entries of a list.
type Field struct {
	Key      string
	Kind     Kind
	Unit     string
	Required bool
	Default  string
	Min, Max float64
	Choices  []string
	// Check returns what a valid text looks like, or nothing if it is valid.
	Check func(text string) string
	// Secret keeps the value out of messages.
	Secret bool
	Help   string
	Fields []Field
}

// FieldError is one error of a document. Line is 0 if it is not known.
type FieldError struct {
	Field   string `json:"field"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// String returns the fault in one line.
func (f FieldError) String() string {
	text := f.Message
	if f.Field != "" {
		text = f.Field + ": " + text
	}
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	return text
}

// FieldErrors are all errors of a document.
type FieldErrors []FieldError

// Error lists the faults, one a line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldErr := range f {
		lines[i] = fieldErr.String()
	}
	return strings.Join(lines, "\n")
}

// Sort orders the faults by line and field.
func (f FieldErrors) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Field < f[j].Field
	})
}

// Tree holds the values of one table, converted and with defaults filled in.
type Tree struct {
	values map[string]any
	path   string
	lines  lineIndex
}

// Text returns a string.
func (t Tree) Text(key string) string { v, _ := t.values[key].(string); return v }

// Texts returns a list of strings.
func (t Tree) Texts(key string) []string { v, _ := t.values[key].([]string); return v }

// Int returns an integer.
func (t Tree) Int(key string) int { v, _ := t.values[key].(int64); return int(v) }

// Float returns a number.
func (t Tree) Float(key string) float64 { v, _ := t.values[key].(float64); return v }

// Bool returns a boolean.
func (t Tree) Bool(key string) bool { v, _ := t.values[key].(bool); return v }

// Duration returns a duration.
func (t Tree) Duration(key string) time.Duration { v, _ := t.values[key].(time.Duration); return v }

// Table returns a table.
func (t Tree) Table(key string) Tree { v, _ := t.values[key].(Tree); return v }

// Tables returns a list of tables.
func (t Tree) Tables(key string) []Tree { v, _ := t.values[key].([]Tree); return v }

// Has reports whether the key has a valid value.
func (t Tree) Has(key string) bool { _, ok := t.values[key]; return ok }

// FieldError returns a fault of a field of this table.
func (t Tree) FieldError(key, format string, args ...any) FieldError {
	path := join(t.path, key)
	return FieldError{Field: path, Line: t.lines.line(path), Message: fmt.Sprintf(format, args...)}
}

// Decode reads the document and returns its values or all faults.
func Decode(data []byte, fields []Field) (Tree, FieldErrors) {
	if fieldErr, invalid := checkText(data); invalid {
		return Tree{}, FieldErrors{fieldErr}
	}
	var raw map[string]any
	if _, err := toml.Decode(string(data), &raw); err != nil {
		return Tree{}, FieldErrors{syntaxError(err)}
	}
	c := &converter{lines: indexLines(string(data))}
	tree := c.table(raw, fields, "")
	c.errs.Sort()
	return tree, c.errs
}

// checkText reports a document that is too large or not text.
func checkText(data []byte) (FieldError, bool) {
	if len(data) > MaxBytes {
		return FieldError{Message: fmt.Sprintf("the document has %d bytes, the limit is %d", len(data), MaxBytes)}, true
	}
	line := 1
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size < 2 || r < ' ' && r != '\n' && r != '\t' && r != '\r' {
			return FieldError{Line: line, Message: fmt.Sprintf("byte 0x%02x is not text", data[i])}, true
		}
		if r == '\n' {
			line++
		}
		i += size
	}
	return FieldError{}, false
}

// syntaxError converts an error of the TOML library.
func syntaxError(err error) FieldError {
	var parseErr toml.ParseError
	if errors.As(err, &parseErr) {
		return FieldError{Field: parseErr.LastKey, Line: parseErr.Position.Line, Message: parseErr.Message}
	}
	return FieldError{Message: err.Error()}
}

// join appends a key to a path.
func join(path, key string) string {
	if path == "" || key == "" {
		return path + key
	}
	return path + "." + key
}
