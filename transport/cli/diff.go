package cli

import (
	"context"
	"strings"

	"github.com/shallotstep/shallotstep/state"
)

func runDiff(ctx context.Context, v *invocation) int {
	raw, operator, code := v.declaration(v.args[0])
	if code != ExitDone {
		return code
	}
	c, code := v.connect()
	if code != ExitDone {
		return code
	}
	d, f := c.Declaration(ctx, operator)
	if f != nil && (f.Problem == nil || f.Problem.Reason != state.ReasonNoDeclaration) {
		return v.reportFailure(f)
	}
	lines := diffLines(splitLines(d.Raw), splitLines(raw))
	doc := diffDoc{Operator: operator, Version: d.Version, Same: len(lines) == 0, Lines: lines}
	v.print(doc, func() {
		for _, l := range lines {
			v.printf("%s\n", l)
		}
	})
	if doc.Same {
		return ExitDone
	}
	return ExitRefused
}

// difference is a comparison as scripts read it.
type diffDoc struct {
	Operator string        `json:"operator"`
	Version  state.Version `json:"version"`
	Same     bool          `json:"same"`
	Lines    []string      `json:"lines"`
}

func splitLines(b []byte) []string {
	if len(b) == 0 {
		return nil
	}
	return strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
}

// diffLines returns the lines that went, with "- " before them, and those that
// came, with "+ ", in the order of the files. It finds a longest common
// subsequence of what lies between the common head and tail.
func diffLines(before, after []string) []string {
	for len(before) > 0 && len(after) > 0 && before[0] == after[0] {
		before, after = before[1:], after[1:]
	}
	for len(before) > 0 && len(after) > 0 && before[len(before)-1] == after[len(after)-1] {
		before, after = before[:len(before)-1], after[:len(after)-1]
	}
	common := commonLengths(before, after)
	var out []string
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i++
			j++
		case j == len(after) || (i < len(before) && common[i+1][j] >= common[i][j+1]):
			out = append(out, "- "+before[i])
			i++
		default:
			out = append(out, "+ "+after[j])
			j++
		}
	}
	return out
}

// commonLengths[i][j] is how many lines before[i:] and after[j:] have in common.
func commonLengths(before, after []string) [][]int32 {
	table := make([][]int32, len(before)+1)
	for i := range table {
		table[i] = make([]int32, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}
