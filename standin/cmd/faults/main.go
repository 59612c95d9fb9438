package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/standin/tabulator"
)

type args struct {
	Root string `arg:"--root" default:"." help:"folder of the source tree"`
	Out  string `arg:"-o,--out" default:"docs/FAULTS.md" help:"page to write"`
}

// pageMode is the permissions of the page.
const pageMode = 0o644

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "faults:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	cells, err := tabulator.Read(os.DirFS(a.Root))
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.Out, tabulator.Page(cells), pageMode); err != nil {
		return errors.Wrap(err, "write page")
	}
	return nil
}
