package operator

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// Output runs one command line like Run and returns its output; any exit code but OK is an error with the error output.
func Output(in io.Reader, argv ...string) (string, error) {
	var stdout, stderr bytes.Buffer
	if code := Run(Env{In: in, Out: &stdout, Err: &stderr}, argv); code != OK {
		return stdout.String(), errors.Errorf("redwingstage: exit code %d: %s", code, &stderr)
	}
	return stdout.String(), nil
}
