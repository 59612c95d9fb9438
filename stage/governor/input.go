package governor

import (
	"fmt"
	"unicode/utf8"

	"redwingstage.org/serving/tracker"
)

// maxTextBytes bounds a name or an address in bytes. Many servers' announcements go into one message.
const maxTextBytes = 256

// InputError reports a value that can't be passed on to other processes.
type InputError struct {
	// Place is the field with the value.
	Place  string
	Reason string
}

// Error implements error.
func (e *InputError) Error() string { return e.Place + ": " + e.Reason }

// checkText returns an InputError for text that other processes refuse.
func checkText(place, s string) error {
	if len(s) > maxTextBytes {
		return &InputError{place, fmt.Sprintf("%d bytes, at most %d", len(s), maxTextBytes)}
	}
	for i, r := range s {
		if _, size := utf8.DecodeRuneInString(s[i:]); r == utf8.RuneError && size == 1 {
			return &InputError{place, fmt.Sprintf("byte %d is not UTF-8", i+1)}
		}
	}
	return nil
}

func checkAdapter(a tracker.Adapter) error {
	if err := checkText("model", a.Model); err != nil {
		return err
	}
	return checkText("adapter", a.Name)
}

func checkInstance(in tracker.Instance) error {
	for _, f := range []struct{ place, text string }{{"id", in.Key.ID}, {"service", in.Service}, {"addr", in.Addr}, {"zone", in.Zone}, {"version", in.Software}} {
		if err := checkText(f.place, f.text); err != nil {
			return err
		}
	}
	for _, r := range in.Residents {
		if err := checkAdapter(r.Adapter); err != nil {
			return err
		}
	}
	return nil
}
