package main

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"redwingstage.org/standin/verdicter"
)

type args struct {
	KnownFailures string `arg:"-r,--red" help:"file that lists the tests which may fail"`
}

func main() {
	var a args
	arg.MustParse(&a)
	ok, err := run(a.KnownFailures, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

func run(knownPath string, r io.Reader, w io.Writer) (ok bool, err error) {
	known, err := readKnown(knownPath, w)
	if err != nil {
		return false, err
	}
	v, err := verdicter.Evaluate(r, known)
	if err != nil {
		return false, err
	}
	return v.IsSuccess(), v.Print(w)
}

// readKnown reads the list of known failures and prints it, so that every run shows which failures it ignores.
func readKnown(path string, w io.Writer) ([]string, error) {
	b, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "read list of known failures")
	}
	return verdicter.ReadKnown(io.TeeReader(bytes.NewReader(b), w))
}
