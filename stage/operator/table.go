package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// columnGap is the gap's width in characters.
const columnGap = 2

// table writes rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, headers ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)}
	t.row(headers...)
	return t
}

func (t *table) row(cells ...string) {
	for i, c := range cells {
		if c == "" {
			cells[i] = "-"
		}
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(cells, "\t")) // Flush returns the error
}

func (t *table) flush() error {
	if err := t.w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

// wordIf returns word if b, else "".
func wordIf(b bool, word string) string {
	if b {
		return word
	}
	return ""
}
