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
	encoded, err := Marshal(sample{Name: "a", N: 7})
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		name string
		give []byte
		want string
	}{
		{name: "empty", give: nil, want: "decode: EOF"},
		{name: "cut", give: encoded[:len(encoded)-1], want: "decode: unexpected EOF"},
		{name: "trailing", give: append(append([]byte{}, encoded...), 0), want: "decode: .*extraneous data.*"},
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
	qt.Assert(t, Unmarshal(encoded, &s), qt.IsNil)
	qt.Assert(t, s, qt.Equals, sample{Name: "a", N: 7})
}

// A Raw message goes to several receivers, while connect-go reuses the slice that Marshal returns.
func TestRawMarshalReturnsCopy(t *testing.T) {
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
