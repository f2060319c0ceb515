package decoder

import (
	"fmt"
	"strings"
)

// lineIndex maps the path of a key to its line. The TOML library gives no
// positions for keys that parse, so the index is made from the text.
type lineIndex map[string]int

// of returns the line of the path or of the nearest enclosing key, or 0.
func (x lineIndex) of(path string) int {
	for path != "" {
		if line, ok := x[path]; ok {
			return line
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return 0
		}
		path = path[:cut]
	}
	return 0
}

// indexLines finds table headers and keys at the start of lines.
func indexLines(text string) lineIndex {
	index := lineIndex{}
	counts := map[string]int{}
	table, quoted := "", false
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		within := quoted
		if (strings.Count(line, `"""`)+strings.Count(line, "'''"))%2 == 1 {
			quoted = !quoted
		}
		switch {
		case within || line == "" || line[0] == '#':
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]")
			name = resolve(name, counts)
			table = fmt.Sprintf("%s[%d]", name, counts[name])
			counts[name]++
			index.add(table, i+1)
		case line[0] == '[':
			name, _, _ := strings.Cut(line[1:], "]")
			table = resolve(name, counts)
			index.add(table, i+1)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				index.add(join(table, plain(key)), i+1)
			}
		}
	}
	return index
}

// add keeps the first line of a path.
func (x lineIndex) add(path string, line int) {
	if _, ok := x[path]; !ok {
		x[path] = line
	}
}

// resolve puts the index of the newest list entry behind each part of a name.
func resolve(name string, counts map[string]int) string {
	parts := strings.Split(plain(name), ".")
	path := ""
	for i, part := range parts {
		path = join(path, plain(part))
		if n := counts[path]; n > 0 && i < len(parts)-1 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
	}
	return path
}

// plain removes spaces and quotes around a key.
func plain(key string) string {
	return strings.Trim(strings.TrimSpace(key), `"'`)
}

// nearest returns the known key with the smallest edit distance.
func nearest(key string, fields []Field) string {
	best, least := "", -1
	for _, f := range fields {
		if d := distance(key, f.Key); least < 0 || d < least {
			best, least = f.Key, d
		}
	}
	return best
}

// maxCompared bounds the characters of a key that are compared.
const maxCompared = 64

// distance returns the Levenshtein distance.
func distance(a, b string) int {
	if len(a) > maxCompared {
		a = a[:maxCompared]
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
