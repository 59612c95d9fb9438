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
	Red string `arg:"-r,--red" help:"file that lists the tests which may fail"`
}

func main() {
	var a args
	arg.MustParse(&a)
	green, err := run(a.Red, os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || !green {
		os.Exit(1)
	}
}

func run(red string, r io.Reader, w io.Writer) (green bool, err error) {
	known, err := readKnown(red, w)
	if err != nil {
		return false, err
	}
	v, err := verdicter.Judge(r, known)
	if err != nil {
		return false, err
	}
	return v.IsGreen(), v.Print(w)
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
