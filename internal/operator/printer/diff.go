package printer

import "strings"

// maxLinePairs bounds the table of line pairs to about 128 MB; a canonical
// contract at all its bounds has about 2,500 lines, 6 million pairs.
const maxLinePairs = 16 << 20

// Diff returns the lines of both texts, with "-" before lines that only the
// old one has and "+" before lines that only the new one has.
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

// subsequenceLengths returns the lengths of the longest common subsequences of all
// pairs of tails.
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
