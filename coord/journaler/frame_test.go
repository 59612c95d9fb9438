package journaler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func FuzzScan(f *testing.F) {
	const salt = 0x01020304
	whole, err := encodeFrame(salt, [][]byte{[]byte("one"), nil, []byte("three")})
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte{})
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Add(append(append([]byte{}, whole...), whole[:7]...))
	f.Add(append(append([]byte{0}, whole...), whole...))
	f.Fuzz(func(t *testing.T, body []byte) {
		b := append(encodeHeader(1, salt), body...)
		records, _, end, err := scan("log", b, 1)
		if err != nil {
			qt.Assert(t, err, qt.ErrorMatches, "log is damaged at offset .*")
			return
		}
		again, _, at, err := scan("log", b[:end], 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, at, qt.Equals, end)
		qt.Assert(t, again, qt.DeepEquals, records)
	})
}
