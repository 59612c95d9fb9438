package encoder

import (
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"
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

type list struct {
	Names   []string `cbor:"1,keyasint,omitempty"`
	Samples []sample `cbor:"2,keyasint,omitempty"`
	Leader  *sample  `cbor:"3,keyasint,omitempty"`
	dropped []string
}

func (l *list) SetDropped(fields []string) { l.dropped = fields }

// One string that wasn't UTF-8 was encoded into a message that no receiver could decode.
func TestMarshalRefusesWhatUnmarshalRefuses(t *testing.T) {
	deep := any(1)
	for range maxNestingDepth + 1 {
		deep = []any{deep}
	}
	for _, tt := range []struct {
		name string
		give any
		want string
	}{
		{"text", sample{Name: "i-\xff9"}, `encode: text "i-\\xff9" is not UTF-8`},
		{"text in a list", list{Samples: []sample{{Name: "a"}, {Name: "\xc3"}}}, `encode: text "\\xc3" is not UTF-8`},
		{"text as a key", map[string]int{"\x80": 1}, `encode: text "\\x80" is not UTF-8`},
		{"half a character", sample{Name: "\xed\xa0\x80"}, "encode: text .* is not UTF-8"},
		{"nesting", deep, "encode: cbor: exceeded max nested level 32"},
		{"elements", make([]bool, maxElements+1), "encode: cbor: exceeded max number of elements .*"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Marshal(tt.give)
			qt.Check(t, err, qt.ErrorMatches, tt.want)
		})
	}
}

// An unreadable element of a list ended the stream with its message, and all that the message said besides was lost.
func TestCodecDropsUnreadableElementsOnly(t *testing.T) {
	give := list{Names: []string{"a", "\xff", "b"}, Samples: []sample{{Name: "\xff"}, {Name: "c", N: 1}}, Leader: &sample{Name: "\xfe"}}
	want := list{Names: []string{"a", "b"}, Samples: []sample{{Name: "c", N: 1}}}
	dropped := []string{"1 of 3 Names", "1 of 2 Samples", "Leader"}
	unchecked, err := encMode.Marshal(give)
	qt.Assert(t, err, qt.IsNil)
	var received list
	qt.Assert(t, Codec{}.Unmarshal(unchecked, &received), qt.IsNil)
	qt.Check(t, received.dropped, qt.DeepEquals, dropped)
	received.dropped = nil
	qt.Check(t, received, qt.CmpEquals(cmp.AllowUnexported(list{})), want)

	data, err := Codec{}.Marshal(&give)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, give.dropped, qt.DeepEquals, dropped)
	var decoded list
	qt.Assert(t, Unmarshal(data, &decoded), qt.IsNil)
	qt.Check(t, decoded, qt.CmpEquals(cmp.AllowUnexported(list{})), want)
	qt.Check(t, Codec{}.Unmarshal(unchecked[:len(unchecked)-1], &decoded), qt.IsNotNil)
}

// Whatever Marshal returns, Unmarshal accepts.
func FuzzMarshalledIsReadable(f *testing.F) {
	f.Add("a", "b", uint64(1), []byte("c"))
	f.Add("\xff", "\xed\xa0\x80", uint64(1<<40), []byte{0x61, 0xff})
	f.Fuzz(func(t *testing.T, name, key string, n uint64, raw []byte) {
		give := map[string]any{key: []any{name, n, raw, map[string]string{name: key}}}
		data, err := Marshal(give)
		isText := utf8.ValidString(name) && utf8.ValidString(key)
		qt.Assert(t, err == nil, qt.Equals, isText)
		if err != nil {
			return
		}
		var got map[string][]any
		qt.Assert(t, Unmarshal(data, &got), qt.IsNil)
		qt.Assert(t, got[key][0], qt.Equals, any(name))
	})
}
