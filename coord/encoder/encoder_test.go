package encoder

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

type sample struct {
	Name string `cbor:"1,keyasint"`
	N    uint64 `cbor:"2,keyasint"`
}

func TestUnmarshalErrors(t *testing.T) {
	whole, err := Marshal(sample{Name: "a", N: 7})
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name string
		give []byte
		want string
	}{
		{name: "empty", give: nil, want: "decode: EOF"},
		{name: "cut", give: whole[:len(whole)-1], want: "decode: unexpected EOF"},
		{name: "trailing", give: append(append([]byte{}, whole...), 0), want: "decode: .*extraneous data.*"},
		{name: "duplicate key", give: []byte{0xa2, 0x02, 0x01, 0x02, 0x02}, want: "decode: .*duplicate map key.*"},
		{name: "other type", give: []byte{0xa1, 0x02, 0x61, 0x61}, want: "decode: .*cannot unmarshal.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var s sample
			qt.Assert(t, Unmarshal(tt.give, &s), qt.ErrorMatches, tt.want)
		})
	}
	var s sample
	qt.Assert(t, Unmarshal(whole, &s), qt.IsNil)
	qt.Assert(t, s, qt.Equals, sample{Name: "a", N: 7})
}

// One encoded message goes to several receivers, while connect-go uses what it gets again as a buffer.
func TestARawMessageIsNeverHandedOutItself(t *testing.T) {
	raw := Raw("one message")
	for range 2 {
		data, err := Codec{}.Marshal(&raw)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(data), qt.Equals, "one message")
		for i := range data {
			data[i] = 0
		}
	}
}
