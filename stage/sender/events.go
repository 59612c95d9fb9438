package sender

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

const maxEvent = 1 << 20

var (
	errOversized = errors.New("answer is larger than the limit")
	errCrossed   = errors.New("answer belongs to another attempt, model or incarnation")
	errBroken    = errors.New("answer ended before its end marker")

	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	endMarker = []byte("[DONE]")
)

// eventReader reads server-sent events and checks that each has the attempt's ID.
type eventReader struct {
	r       *bufio.Reader
	attempt string
	// also is a second valid ID: that of the attempt that resumes the stream.
	also    string
	event   []byte
	named   bool
	lenient bool
}

// next returns the next event without its ID, as sent to the caller, and whether it is the end marker.
func (e *eventReader) next() ([]byte, bool, error) {
	e.event, e.named = e.event[:0], false
	for {
		line, err := e.line()
		if err != nil {
			return nil, false, err
		}
		if len(line) > 0 {
			if err := e.field(line); err != nil {
				return nil, false, err
			}
			continue
		}
		if len(e.event) == 0 {
			continue
		}
		if !e.named {
			return nil, false, errCrossed
		}
		done := bytes.Equal(bytes.TrimSpace(e.event[len(fieldData):]), endMarker)
		e.event = append(e.event, '\n')
		return e.event, done, nil
	}
}

func (e *eventReader) field(line []byte) error {
	switch {
	case bytes.HasPrefix(line, fieldID):
		id := string(bytes.TrimSpace(line[len(fieldID):]))
		e.named = id == e.attempt || id == e.also || e.lenient
		if !e.named {
			return errCrossed
		}
	case bytes.HasPrefix(line, fieldData):
		if len(e.event)+len(line) > maxEvent {
			return errOversized
		}
		e.event = append(e.event, line...)
		e.event = append(e.event, '\n')
	}
	return nil
}

// line returns the next line without its line break; it is valid until the next call.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.longLine(line)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errBroken
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *eventReader) longLine(start []byte) ([]byte, error) {
	long := append([]byte{}, start...)
	for {
		more, err := e.r.ReadSlice('\n')
		long = append(long, more...)
		if len(long) > maxEvent {
			return nil, errOversized
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
}
