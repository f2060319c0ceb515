package printer

import "strings"

// maxLinePairs bounds the table of subsequence lengths to about 128 MB. Two
// canonical contracts of maximum size, about 2,500 lines each, have 6 million
// pairs of lines.
const maxLinePairs = 16 << 20

// Diff returns a line diff of two texts. It marks removed lines with "-" and
// added lines with "+".
func Diff(before, after string) string {
	oldLines, newLines := strings.Split(before, "\n"), strings.Split(after, "\n")
	if len(oldLines)*len(newLines) > maxLinePairs {
		return "the documents are too long to compare\n"
	}
	lengths := subsequenceLengths(oldLines, newLines)
	var out strings.Builder
	i, j := 0, 0
	for i < len(oldLines) || j < len(newLines) {
		switch {
		case i < len(oldLines) && j < len(newLines) && oldLines[i] == newLines[j]:
			out.WriteString("  " + oldLines[i] + "\n")
			i, j = i+1, j+1
		case j == len(newLines) || i < len(oldLines) && lengths[i+1][j] >= lengths[i][j+1]:
			out.WriteString("- " + oldLines[i] + "\n")
			i++
		default:
			out.WriteString("+ " + newLines[j] + "\n")
			j++
		}
	}
	return out.String()
}

// subsequenceLengths returns, for all i and j, the length of the longest common
// subsequence of a[i:] and b[j:].
func subsequenceLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	lengths[len(a)] = make([]int, len(b)+1)
	for i := len(a) - 1; i >= 0; i-- {
		lengths[i] = make([]int, len(b)+1)
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
				continue
			}
			lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
		}
	}
	return lengths
}
