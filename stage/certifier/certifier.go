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

// lookInterval is the minimum time between two checks of the files for changes.
const lookInterval = 10 * time.Second

// Logger receives a Certifier's log lines.
type Logger interface {
	Info(msg, detail string)
	Error(msg string, err error)
}

// Certifier provides a listener's certificate; replaced files take effect at a handshake after both are complete.
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

// stamp holds the files' modification times, which detect changes.
type stamp struct {
	cert time.Time
	key  time.Time
}

// Option configures a Certifier.
type Option func(*Certifier)

// WithClock replaces time.Now, for tests.
func WithClock(now func() time.Time) Option { return func(c *Certifier) { c.now = now } }

// New loads a certificate and its private key from the files cert and key, both in PEM.
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

// Config returns the configuration of a TLS listener that uses the certificate.
func (c *Certifier) Config() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(), nil },
	}
}

// certificate returns the current certificate; if the replaced files are invalid, it keeps the old one.
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

// load reads both files; s must have been read before, so that the next check sees a change made in between.
func (c *Certifier) load(s stamp) error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", c.cert, c.key)
	}
	if end := pair.Leaf.NotAfter; c.now().After(end) {
		// Not fatal: operators of a deployment that is down need the replica more than a valid certificate.
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

// Client returns the configuration of a TLS client that trusts only certificates signed by the authorities in a PEM file.
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

// Handshake starts TLS on a connection to addr; the server's certificate must be valid for that address.
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
