package encoder

import (
	"bytes"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Name is the codec's name in connect's content types.
const Name = "cbor"

const (
	maxNestingDepth = 32
	maxElements     = 1 << 20
	idleBeforePing  = 30 * time.Second
	pingTimeout     = 3 * time.Second
	// writeTimeout is the time after which a connection that takes no byte is closed.
	writeTimeout = 5 * time.Second
	dialTimeout  = 2 * time.Second
	// minCompressedBytes is the message size in bytes from which compression saves more than it costs.
	minCompressedBytes = 4 << 10
	// maxShownBytes bounds the text that an error quotes.
	maxShownBytes = 64
)

var (
	encMode = newEncMode()
	decMode = newDecMode(cbor.UTF8RejectInvalid, cbor.ExtraDecErrorNone)
	// knownMode refuses fields that the decoding type lacks.
	knownMode = newDecMode(cbor.UTF8RejectInvalid, cbor.ExtraDecErrorUnknownField)
)

func newEncMode() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	m, err := opts.EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func newDecMode(text cbor.UTF8Mode, extra cbor.ExtraDecErrorCond) cbor.DecMode {
	m, err := cbor.DecOptions{
		UTF8:              text,
		ExtraReturnErrors: extra,
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   maxNestingDepth,
		MaxArrayElements:  maxElements,
		MaxMapPairs:       maxElements,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v deterministically: equal values give equal bytes. It returns an error for a value that Unmarshal would
// refuse, such as text that isn't UTF-8.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	if err := check(b); err != nil {
		return nil, errors.Wrap(err, "encode")
	}
	return b, nil
}

// Unmarshal decodes data into v; data after the value and duplicate keys are errors.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// Codec is a stateless connect.Codec for plain structs.
type Codec struct{}

// Name implements connect.Codec.
func (Codec) Name() string { return Name }

// Raw is an already encoded message, so that one encoding serves many receivers.
type Raw []byte

// Marshal implements connect.Codec. A Partial loses the parts that Marshal refuses.
func (Codec) Marshal(v any) ([]byte, error) {
	if r, ok := v.(*Raw); ok {
		// connect-go reuses the returned slice for later messages.
		return bytes.Clone(*r), nil
	}
	data, err := Marshal(v)
	p, ok := v.(Partial)
	if err == nil || !ok {
		return data, err
	}
	p.SetDropped(DropInvalid(v))
	return Marshal(v)
}

// Unmarshal implements connect.Codec; an empty body leaves v unchanged. A Partial keeps its valid parts.
func (Codec) Unmarshal(data []byte, v any) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	err := Unmarshal(data, v)
	p, ok := v.(Partial)
	if err == nil || !ok {
		return err
	}
	dropped, partErr := unmarshalParts(data, v)
	if partErr != nil {
		return err
	}
	p.SetDropped(dropped)
	return nil
}

// ConnectOption returns the option for all handlers and clients of internal messages; small messages aren't compressed.
func ConnectOption() connect.Option {
	return connect.WithOptions(connect.WithCodec(Codec{}), connect.WithCompressMinBytes(minCompressedBytes))
}

// newHTTP2Config returns the settings with which both ends notice that the other one is gone.
func newHTTP2Config() *http.HTTP2Config {
	return &http.HTTP2Config{SendPingTimeout: idleBeforePing, PingTimeout: pingTimeout, WriteByteTimeout: writeTimeout}
}

// NewServer returns an HTTP server for handler that accepts HTTP/1 and unencrypted HTTP/2, and detects dead connections of
// the latter by pings.
func NewServer(handler http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: &p, HTTP2: newHTTP2Config(), ReadHeaderTimeout: dialTimeout}
}
