package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// table prints aligned columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(w io.Writer) table { return table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)} }

func (t table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(texts, "\t"))
}

func (t table) flush() { _ = t.w.Flush() }

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func formatYesNo(yes bool) string {
	if yes {
		return "yes"
	}
	return "no"
}
