package operator

import (
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

// Call runs one command line as Run does and returns what it printed; any exit code but OK is an error with the complaint.
func Call(in io.Reader, argv ...string) (string, error) {
	var out, complaint bytes.Buffer
	if code := Run(Env{In: in, Out: &out, Err: &complaint}, argv); code != OK {
		return out.String(), errors.Errorf("redwingstage: exit code %d: %s", code, &complaint)
	}
	return out.String(), nil
}
