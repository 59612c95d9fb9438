package operator

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
)

// gap is the space between table columns in characters.
const gap = 2

// table writes rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(w io.Writer, head ...string) *table {
	t := &table{w: tabwriter.NewWriter(w, 0, 0, gap, ' ', 0)}
	t.row(head...)
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

func (t *table) end() error {
	if err := t.w.Flush(); err != nil {
		return errors.Wrap(err, "print")
	}
	return nil
}

// yes returns word if b is true, or "".
func yes(b bool, word string) string {
	if b {
		return word
	}
	return ""
}
