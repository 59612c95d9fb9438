package operator

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// Call runs one command line like Run and returns its output; for any exit code but OK, the error contains the error output.
func Call(in io.Reader, argv ...string) (string, error) {
	var out, complaint bytes.Buffer
	if code := Run(Env{In: in, Out: &out, Err: &complaint}, argv); code != OK {
		return out.String(), errors.Errorf("redwingstage: exit code %d: %s", code, &complaint)
	}
	return out.String(), nil
}
