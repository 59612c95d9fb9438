package collector

import (
	"bytes"
	"encoding/binary"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Messages are counted while they are received, whatever the pieces, and no longer than until the next one is read.
func TestMessagesAreCounted(t *testing.T) {
	var data []byte
	sizes := []int{0, 10, uncountedBytes, 100 << 10, 0, 300 << 10, 7}
	for _, n := range sizes {
		data = binary.BigEndian.AppendUint32(append(data, 0), uint32(n))
		data = append(data, make([]byte, n)...)
	}
	c := NewWithBudget(1 << 20)
	read := func(contentType string, body io.Reader, use func(r *http.Request)) {
		req := httptest.NewRequest(http.MethodPost, "/", body)
		req.Header.Set("Content-Type", contentType)
		c.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { use(r) })).ServeHTTP(httptest.NewRecorder(), req)
		used, _ := c.Used()
		qt.Check(t, used, qt.Equals, int64(0))
	}
	for _, piece := range []int{1, 3, 1000, 50 << 10} {
		read(streamType+"cbor", bytes.NewReader(data), func(r *http.Request) {
			for _, n := range sizes {
				_, err := io.ReadFull(r.Body, make([]byte, prefixBytes))
				qt.Assert(t, err, qt.IsNil)
				used, _ := c.Used()
				qt.Check(t, used, qt.Equals, int64(0))
				for left := n; left > 0; left -= min(piece, left) {
					_, err := io.ReadFull(r.Body, make([]byte, min(piece, left)))
					qt.Assert(t, err, qt.IsNil)
				}
				if used, _ = c.Used(); n > uncountedBytes {
					qt.Check(t, used, qt.Equals, int64(n))
				}
			}
		})
	}
	// More than the budget, as one message and in a stream, isn't received.
	large := make([]byte, 2<<20)
	read("application/cbor", bytes.NewReader(large), func(r *http.Request) {
		_, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.ErrorIs, ErrNoRoom)
	})
	read(streamType+"cbor", io.MultiReader(bytes.NewReader([]byte{0, 0, 0x20, 0, 0}), bytes.NewReader(large)), func(r *http.Request) {
		_, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.ErrorIs, ErrNoRoom)
	})
}

// A reader that outlives its handler gets nothing and holds nothing.
func TestReaderThatOutlivesItsHandlerHoldsNothing(t *testing.T) {
	c := NewWithBudget(1 << 20)
	pr, pw := io.Pipe()
	read := make(chan error, 1)
	req := httptest.NewRequest(http.MethodPost, "/", pr)
	c.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		go func() {
			_, err := io.ReadAll(r.Body)
			read <- err
		}()
	})).ServeHTTP(httptest.NewRecorder(), req)
	go func() { _, _ = pw.Write(make([]byte, 100<<10)) }()
	qt.Check(t, <-read, qt.ErrorIs, http.ErrBodyReadAfterClose)
	qt.Check(t, pr.Close(), qt.IsNil)
	used, _ := c.Used()
	qt.Check(t, used, qt.Equals, int64(0))
}
