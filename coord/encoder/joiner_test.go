package encoder

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	qt "github.com/frankban/quicktest"
)

// TestJoinedBody reads messages that are written in two parts each.
func TestJoinedBody(t *testing.T) {
	tests := []struct {
		name  string
		sizes []int
		buf   int
		want  []int
	}{
		{name: "one read each", sizes: []int{11, 1, 300}, buf: 512, want: []int{16, 6, 305}},
		{name: "payload of a prefix's size", sizes: []int{5, 5}, buf: 512, want: []int{10, 10}},
		{name: "empty payload", sizes: []int{0, 7}, buf: 512, want: []int{5, 0, 12}},
		{name: "payload over several reads", sizes: []int{20, 3}, buf: 10, want: []int{10, 10, 5, 8}},
		{name: "buffer shorter than a prefix", sizes: []int{4, 2}, buf: 3, want: []int{3, 2, 3, 1, 3, 2, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, w := io.Pipe()
			go func() {
				for _, size := range tt.sizes {
					_, _ = w.Write(binary.BigEndian.AppendUint32([]byte{0}, uint32(size)))
					_, _ = w.Write(make([]byte, size))
				}
				_ = w.Close()
			}()
			b := &joinedBody{ReadCloser: r}
			var got []int
			for {
				n, err := b.Read(make([]byte, tt.buf))
				if errors.Is(err, io.EOF) {
					break
				}
				qt.Assert(t, err, qt.IsNil)
				got = append(got, n)
			}
			qt.Assert(t, got, qt.DeepEquals, tt.want)
		})
	}
}

// flagRecorder keeps the flags of the first message of each response.
type flagRecorder struct {
	http.RoundTripper
	flags []byte
}

type recordedBody struct {
	io.ReadCloser
	record func([]byte)
}

func (b recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.record(p[:n])
	}
	return n, err
}

func (r *flagRecorder) RoundTrip(req *http.Request) (*http.Response, error) {
	res, err := r.RoundTripper.RoundTrip(req)
	if err == nil {
		first := true
		res.Body = recordedBody{res.Body, func(p []byte) {
			if first {
				r.flags = append(r.flags, p[0])
			}
			first = false
		}}
	}
	return res, err
}

// TestSmallMessagesAreNotCompressed checks the message flags: compressing a small message costs more than sending it.
func TestSmallMessagesAreNotCompressed(t *testing.T) {
	for _, tt := range []struct {
		name string
		size int
		want byte
	}{{"small", 100, 0}, {"large", 100_000, 1}} {
		t.Run(tt.name, func(t *testing.T) {
			h := connect.NewBidiStreamHandler("/echo", func(_ context.Context, s *connect.BidiStream[sample, sample]) error {
				m, err := s.Receive()
				if err != nil {
					return err
				}
				return s.Send(m)
			}, ConnectOption())
			srv := httptest.NewUnstartedServer(h)
			srv.Config.Protocols = NewServer(h).Protocols
			srv.Start()
			defer srv.Close()
			client := NewClient()
			defer client.Close()
			rec := &flagRecorder{RoundTripper: client.http.Transport}
			s := connect.NewClient[sample, sample](&http.Client{Transport: rec}, srv.URL+"/echo", ConnectOption()).CallBidiStream(context.Background())
			qt.Assert(t, s.Send(&sample{Name: strings.Repeat("a", tt.size)}), qt.IsNil)
			m, err := s.Receive()
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, m.Name, qt.HasLen, tt.size)
			qt.Assert(t, s.CloseRequest(), qt.IsNil)
			qt.Assert(t, s.CloseResponse(), qt.IsNil)
			qt.Assert(t, rec.flags, qt.DeepEquals, []byte{tt.want})
		})
	}
}
