// Package decoder decodes TOML documents as described by a list of fields, and
// reports all errors of a document at once. The manual of a document is
// generated from the same list, so that the two cannot differ.
//
// # Usage
//
//	fields := []decoder.Field{{Key: "weight", Kind: decoder.Integer, Min: 1, Max: 1000}}
//	tree, errs := decoder.Decode(data, fields)
//	if len(errs) > 0 {
//		return errs
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

// MaxBytes is the maximum size of a document.
const MaxBytes = 64 << 10

// Kind is the type of a field.
type Kind string

// Kinds of fields. A Duration is a string such as "9.3s".
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

// Field describes one key. Min and Max bound the value of an Integer, a Number
// or a Duration (in nanoseconds), the number of characters of a Text and the
// number of entries of a list.
type Field struct {
	Key      string
	Kind     Kind
	Unit     string
	Required bool
	Default  string
	Min, Max float64
	Choices  []string
	// Check returns a description of valid texts if the text is invalid, and an
	// empty string otherwise.
	Check func(text string) string
	// Secret values are not shown in error messages.
	Secret bool
	Help   string
	Fields []Field
}

// FieldError is one error in a document. Line is 0 if it is unknown.
type FieldError struct {
	Field   string `json:"field"`
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// String describes the error in one line.
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

// FieldErrors are all errors in a document.
type FieldErrors []FieldError

// Error lists the errors, one per line.
func (f FieldErrors) Error() string {
	lines := make([]string, len(f))
	for i, fieldErr := range f {
		lines[i] = fieldErr.String()
	}
	return strings.Join(lines, "\n")
}

// Sort sorts the errors by line and field.
func (f FieldErrors) Sort() {
	sort.SliceStable(f, func(i, j int) bool {
		if f[i].Line != f[j].Line {
			return f[i].Line < f[j].Line
		}
		return f[i].Field < f[j].Field
	})
}

// Tree holds the converted values of one table, including defaults. The methods
// that return a value return the zero value if the key has no valid value of
// that type.
type Tree struct {
	values map[string]any
	path   string
	lines  lineIndex
}

// Text returns the string at the key.
func (t Tree) Text(key string) string { v, _ := t.values[key].(string); return v }

// Texts returns the list of strings at the key.
func (t Tree) Texts(key string) []string { v, _ := t.values[key].([]string); return v }

// Int returns the integer at the key.
func (t Tree) Int(key string) int { v, _ := t.values[key].(int64); return int(v) }

// Float returns the number at the key.
func (t Tree) Float(key string) float64 { v, _ := t.values[key].(float64); return v }

// Bool returns the boolean at the key.
func (t Tree) Bool(key string) bool { v, _ := t.values[key].(bool); return v }

// Duration returns the duration at the key.
func (t Tree) Duration(key string) time.Duration { v, _ := t.values[key].(time.Duration); return v }

// Table returns the table at the key.
func (t Tree) Table(key string) Tree { v, _ := t.values[key].(Tree); return v }

// Tables returns the list of tables at the key.
func (t Tree) Tables(key string) []Tree { v, _ := t.values[key].([]Tree); return v }

// Has reports whether the key has a valid value.
func (t Tree) Has(key string) bool { _, ok := t.values[key]; return ok }

// FieldError returns an error about the key of this table, or about the table
// itself if the key is empty.
func (t Tree) FieldError(key, format string, args ...any) FieldError {
	path := join(t.path, key)
	return FieldError{Field: path, Line: t.lines.line(path), Message: fmt.Sprintf(format, args...)}
}

// Decode decodes the document. It returns all errors, and the values that are
// valid.
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

// checkText returns an error and true if the document is too large, is not
// valid UTF-8 or contains control characters.
func checkText(data []byte) (FieldError, bool) {
	if len(data) > MaxBytes {
		return FieldError{Message: fmt.Sprintf("the document has %d bytes, the limit is %d", len(data), MaxBytes)}, true
	}
	line := 1
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == utf8.RuneError && size < 2 || r < ' ' && r != '\n' && r != '\t' && r != '\r' {
			return FieldError{Line: line, Message: fmt.Sprintf("byte 0x%02x is not valid text", data[i])}, true
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

// join appends a key to a path; either may be empty.
func join(path, key string) string {
	if path == "" || key == "" {
		return path + key
	}
	return path + "." + key
}
