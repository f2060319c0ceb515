package printer

import "strings"

// maxCompared bounds the table of line pairs to about 128 MB; a canonical
// contract at all its bounds has about 2,500 lines, 6 million pairs.
const maxCompared = 16 << 20

// Diff returns the lines of both texts, with "-" before lines that only the
// old one has and "+" before lines that only the new one has.
func Diff(old, changed string) string {
	a, b := strings.Split(old, "\n"), strings.Split(changed, "\n")
	if len(a)*len(b) > maxCompared {
		return "the documents are too long to compare\n"
	}
	common := commonLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			out.WriteString("  " + a[i] + "\n")
			i, j = i+1, j+1
		case j == len(b) || i < len(a) && common[i+1][j] >= common[i][j+1]:
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// commonLengths returns the lengths of the longest common subsequences of all
// pairs of tails.
func commonLengths(a, b []string) [][]int {
	common := make([][]int, len(a)+1)
	common[len(a)] = make([]int, len(b)+1)
	for i := len(a) - 1; i >= 0; i-- {
		common[i] = make([]int, len(b)+1)
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				common[i][j] = common[i+1][j+1] + 1
				continue
			}
			common[i][j] = max(common[i+1][j], common[i][j+1])
		}
	}
	return common
}
