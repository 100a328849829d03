package hclconfig

import (
	"slices"

	"github.com/hashicorp/hcl/v2"
)

func sortStrings(s []string) { slices.Sort(s) }

// sortDiags sorts errors by their position in the file.
func sortDiags(d hcl.Diagnostics) {
	slices.SortStableFunc(d, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		if a.Subject.Start.Line != b.Subject.Start.Line {
			return a.Subject.Start.Line - b.Subject.Start.Line
		}
		return a.Subject.Start.Column - b.Subject.Start.Column
	})
}
