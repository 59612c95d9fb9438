package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// lookInterval is the shortest time between two looks at the files.
const lookInterval = 10 * time.Second

// Logger takes what a Certifier has to say on its files.
type Logger interface {
	Info(msg, detail string)
	Error(msg string, err error)
}

// Certifier holds the certificate of a listener; a new pair of files is used from the first handshake after it is complete.
type Certifier struct {
	cert string
	key  string
	log  Logger
	now  func() time.Time

	mu      sync.Mutex
	current *tls.Certificate
	read    stamp
	looked  time.Time
}

// stamp tells two contents of the files apart.
type stamp struct {
	cert time.Time
	key  time.Time
}

// Option changes a Certifier.
type Option func(*Certifier)

// WithClock replaces the clock, as for a test.
func WithClock(now func() time.Time) Option { return func(c *Certifier) { c.now = now } }

// New reads a certificate and its key, both in PEM.
func New(cert, key string, log Logger, opts ...Option) (*Certifier, error) {
	c := &Certifier{cert: cert, key: key, log: log, now: time.Now}
	for _, opt := range opts {
		opt(c)
	}
	s, err := c.stamp()
	if err != nil {
		return nil, err
	}
	if err := c.load(s); err != nil {
		return nil, err
	}
	c.looked = c.now()
	return c, nil
}

// Config returns the settings of a TLS listener that uses the certificate.
func (c *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(), nil },
	}
}

// certificate returns the pair in force; when the files' new content can't be used, the old pair stays.
func (c *Certifier) certificate() *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	if now.Sub(c.looked) < lookInterval {
		return c.current
	}
	c.looked = now
	if err := c.reload(); err != nil {
		c.log.Error("keeping the old certificate", err)
	}
	return c.current
}

func (c *Certifier) reload() error {
	s, err := c.stamp()
	if err != nil {
		return err
	}
	if s == c.read {
		return nil
	}
	if err := c.load(s); err != nil {
		return err
	}
	c.log.Info("uses a new certificate", c.cert)
	return nil
}

// load reads both files; their stamp was taken before, so that a change in between is seen at the next look.
func (c *Certifier) load(s stamp) error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", c.cert, c.key)
	}
	if end := pair.Leaf.NotAfter; c.now().After(end) {
		// The listener starts all the same: operators of a deployment that is down need the replica more than its certificate.
		c.log.Error("certificate "+c.cert, errors.Errorf("expired on %s", end.UTC().Format(time.RFC3339)))
	}
	c.current, c.read = &pair, s
	return nil
}

func (c *Certifier) stamp() (stamp, error) {
	cert, err := os.Stat(c.cert)
	if err != nil {
		return stamp{}, errors.Wrap(err, "certificate")
	}
	key, err := os.Stat(c.key)
	if err != nil {
		return stamp{}, errors.Wrap(err, "key of the certificate")
	}
	return stamp{cert: cert.ModTime(), key: key.ModTime()}, nil
}

// Client returns the settings of a client that trusts only servers whose certificate an authority in the file has signed.
func Client(authorities string) (*tls.Config, error) {
	b, err := os.ReadFile(authorities)
	if err != nil {
		return nil, errors.Wrap(err, "certificates of authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("certificates of authorities: %s holds no certificate in PEM", authorities)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

// Handshake makes a connection to addr secure; the server must prove that it is the one at that address.
func Handshake(ctx context.Context, c net.Conn, addr string, cfg *tls.Config) (*tls.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	cfg = cfg.Clone()
	cfg.ServerName = host
	secure := tls.Client(c, cfg)
	if err := secure.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrapf(err, "TLS with %s", addr)
	}
	return secure, nil
}
