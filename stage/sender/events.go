package sender

import (
	"bufio"
	"bytes"
	"io"

	"github.com/go-faster/errors"
)

const maxEventBytes = 1 << 20

var (
	errOversized = errors.New("answer is larger than the limit")
	errMismatch  = errors.New("answer belongs to another attempt, model or incarnation")
	errTruncated = errors.New("answer ended before its end marker")

	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	endMarker = []byte("[DONE]")
)

// eventReader reads server-sent events and checks that each has the attempt's ID.
type eventReader struct {
	r       *bufio.Reader
	attempt string
	// resumingAttempt is a second valid ID: that of the attempt that resumes the stream.
	resumingAttempt string
	event           []byte
	idMatched       bool
	anyID           bool
}

// next returns the next event without its ID, as sent to the caller, and whether it is the end marker.
func (e *eventReader) next() ([]byte, bool, error) {
	e.event, e.idMatched = e.event[:0], false
	for {
		line, err := e.readLine()
		if err != nil {
			return nil, false, err
		}
		if len(line) > 0 {
			if err := e.addField(line); err != nil {
				return nil, false, err
			}
			continue
		}
		if len(e.event) == 0 {
			continue
		}
		if !e.idMatched {
			return nil, false, errMismatch
		}
		done := bytes.Equal(bytes.TrimSpace(e.event[len(fieldData):]), endMarker)
		e.event = append(e.event, '\n')
		return e.event, done, nil
	}
}

func (e *eventReader) addField(line []byte) error {
	switch {
	case bytes.HasPrefix(line, fieldID):
		id := string(bytes.TrimSpace(line[len(fieldID):]))
		e.idMatched = id == e.attempt || id == e.resumingAttempt || e.anyID
		if !e.idMatched {
			return errMismatch
		}
	case bytes.HasPrefix(line, fieldData):
		if len(e.event)+len(line) > maxEventBytes {
			return errOversized
		}
		e.event = append(e.event, line...)
		e.event = append(e.event, '\n')
	}
	return nil
}

// readLine returns the next line without its line break; it is valid until the next call.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.readLongLine(line)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errTruncated
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (e *eventReader) readLongLine(start []byte) ([]byte, error) {
	long := append([]byte{}, start...)
	for {
		more, err := e.r.ReadSlice('\n')
		long = append(long, more...)
		if len(long) > maxEventBytes {
			return nil, errOversized
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return long, err
		}
	}
}
