package decoder

import (
	"fmt"
	"strings"
)

// lineIndex maps the path of a key to its line. The TOML library returns no
// positions of valid keys, so the index is built from the text.
type lineIndex map[string]int

// line returns the line of the path or of its closest parent in the index, or 0
// if there is neither.
func (l lineIndex) line(path string) int {
	for path != "" {
		if line, ok := l[path]; ok {
			return line
		}
		end := strings.LastIndexAny(path, ".[")
		if end < 0 {
			return 0
		}
		path = path[:end]
	}
	return 0
}

// indexLines builds the index from the table headers and keys at the starts of
// lines.
func indexLines(text string) lineIndex {
	lines := lineIndex{}
	counts := map[string]int{}
	table, inString := "", false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		startsInString := inString
		if (strings.Count(line, `"""`)+strings.Count(line, "'''"))%2 == 1 {
			inString = !inString
		}
		switch {
		case startsInString || line == "" || line[0] == '#':
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]")
			name = indexedPath(name, counts)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			lines.add(table, i+1)
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			table = indexedPath(name, counts)
			lines.add(table, i+1)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				lines.add(join(table, trimKey(key)), i+1)
			}
		}
	}
	return lines
}

// add adds the line of a path unless the path already has one.
func (l lineIndex) add(path string, line int) {
	if _, ok := l[path]; !ok {
		l[path] = line
	}
}

// indexedPath returns the path of a table. Parts of the name, except the last,
// that are lists of tables get the index of their latest entry.
func indexedPath(name string, counts map[string]int) string {
	parts := strings.Split(trimKey(name), ".")
	path := ""
	for i, part := range parts {
		path = join(path, trimKey(part))
		if n := counts[path]; n > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// trimKey removes spaces and quotes around a key.
func trimKey(key string) string {
	return strings.Trim(strings.TrimSpace(key), `"'`)
}

// nearestKey returns the known key with the smallest edit distance to key.
func nearestKey(key string, fields []Field) string {
	nearest, minDistance := "", -1
	for _, f := range fields {
		if d := editDistance(key, f.Key); minDistance < 0 || d < minDistance {
			nearest, minDistance = f.Key, d
		}
	}
	return nearest
}

// maxComparedKey is the maximum number of bytes of an unknown key that are
// compared.
const maxComparedKey = 64

// editDistance returns the Levenshtein distance of a, cut to maxComparedKey,
// and b.
func editDistance(a, b string) int {
	if len(a) > maxComparedKey {
		a = a[:maxComparedKey]
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}
