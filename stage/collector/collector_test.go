package collector

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// slowReader returns its text and then waits until it is closed.
type slowReader struct {
	io.Reader
	closed chan struct{}
}

func (r *slowReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == nil {
		return n, nil
	}
	<-r.closed
	return 0, io.ErrClosedPipe
}

func TestReadAll(t *testing.T) {
	const limit = 64 << 10
	for _, row := range []struct {
		name              string
		size, length      int
		err               error
		wantHeld, maxHeld int64
	}{
		{"empty", 0, 0, nil, 0, 0},
		{"with a length", 10_000, 10_000, nil, 10_000, 10_000},
		{"at the limit", limit, limit, nil, limit, limit},
		{"announced beyond the limit", 0, limit + 1, ErrTooLarge, 0, 0},
		{"without a length", 10_000, -1, nil, 16 << 10, 16 << 10},
		{"without a length, at the limit", limit, -1, nil, limit + 1, limit + 1},
		{"without a length, beyond the limit", limit + 1, -1, ErrTooLarge, limit + 1, limit + 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := New(8 << 20)
			b := c.Open(func() {})
			data, err := b.ReadAll(strings.NewReader(strings.Repeat("x", row.size)), row.length, limit)
			qt.Check(t, err, qt.Equals, row.err)
			if row.err == nil {
				qt.Check(t, len(data), qt.Equals, row.size)
			}
			used, _ := c.Used()
			qt.Check(t, used, qt.Equals, row.wantHeld)
			b.Close()
			used, _ = c.Used()
			qt.Check(t, used, qt.Equals, int64(0))
		})
	}
}

// What is announced takes no memory until it comes.
func TestAnnouncedBytesAreNotCounted(t *testing.T) {
	c := New(8 << 20)
	closed := make(chan struct{})
	done := make(chan error)
	b := c.Open(func() {})
	go func() {
		_, err := b.ReadAll(&slowReader{strings.NewReader("some"), closed}, 1<<20, 1<<20)
		done <- err
	}()
	time.Sleep(20 * time.Millisecond)
	used, _ := c.Used()
	qt.Check(t, used, qt.Equals, int64(firstBytes))
	close(closed)
	qt.Check(t, <-done, qt.Equals, io.ErrClosedPipe)
	b.Close()
}

// Bodies that stop short of their end are evicted for others.
func TestStoppedBodiesGiveWay(t *testing.T) {
	c := New(16 << 20) // A budget of 4 MB.
	text := bytes.Repeat([]byte("x"), 512<<10)
	for range 8 {
		closed := make(chan struct{})
		b := c.Open(func() { close(closed) })
		go func() {
			defer b.Close()
			_, _ = b.ReadAll(&slowReader{bytes.NewReader(text), closed}, len(text)+1, 1<<20)
		}()
	}
	for range 3 {
		b := c.Open(func() {})
		data, err := b.ReadAll(bytes.NewReader(text), len(text), 1<<20)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, len(data), qt.Equals, len(text))
		b.Close()
	}
	used, limit := c.Used()
	qt.Check(t, used <= limit, qt.IsTrue)
}
