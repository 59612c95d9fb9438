package encoder

import (
	"bytes"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Name is the codec's name in connect's content types.
const Name = "cbor"

const (
	maxNested   = 32
	maxElements = 1 << 20
	idleTimeout = 30 * time.Second
	pingTimeout = 3 * time.Second
	dialTimeout = 2 * time.Second
	// minCompressed is the size of a message in bytes from which compression saves more than it costs.
	minCompressed = 4 << 10
)

var (
	encMode = newEncMode()
	decMode = newDecMode()
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

func newDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNested,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Marshal encodes v deterministically: equal values give equal bytes.
func Marshal(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
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

// Codec lets connect-go carry plain structs; it has no state.
type Codec struct{}

// Name implements connect.Codec.
func (Codec) Name() string { return Name }

// Raw is a message that is encoded already, so that one encoding serves many receivers.
type Raw []byte

// Marshal implements connect.Codec.
func (Codec) Marshal(v any) ([]byte, error) {
	if r, ok := v.(*Raw); ok {
		// connect-go keeps what it gets for later messages.
		return bytes.Clone(*r), nil
	}
	return Marshal(v)
}

// Unmarshal implements connect.Codec; an empty body is the zero value.
func (Codec) Unmarshal(data []byte, v any) error {
	if len(bytes.TrimSpace(data)) == 0 {
		return nil
	}
	return Unmarshal(data, v)
}

// Option returns the option that every handler and client of own messages takes; small messages aren't compressed.
func Option() connect.Option {
	return connect.WithOptions(connect.WithCodec(Codec{}), connect.WithCompressMinBytes(minCompressed))
}

// NewClient returns an HTTP client for unencrypted HTTP/2 that finds silent connections by pings.
func NewClient() *http.Client {
	d := net.Dialer{Timeout: dialTimeout}
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &joiner{&http.Transport{
		DialContext: d.DialContext,
		Protocols:   &p,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: idleTimeout, PingTimeout: pingTimeout},
	}}}
}

// NewServer returns an HTTP server for handler that takes unencrypted HTTP/2.
func NewServer(handler http.Handler) *http.Server {
	var p http.Protocols
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: handler, Protocols: &p, ReadHeaderTimeout: dialTimeout}
}
