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

// checkInterval is the minimum time between file checks.
const checkInterval = 10 * time.Second

// Logger receives a Certifier's log lines.
type Logger interface {
	Info(msg, detail string)
	Error(msg string, err error)
}

// Certifier provides a listener's certificate; replaced files take effect at a handshake after both are complete.
type Certifier struct {
	certFile string
	keyFile  string
	log      Logger
	now      func() time.Time

	mu          sync.Mutex
	currentCert *tls.Certificate
	loadedTimes fileTimes
	checkedAt   time.Time
}

// fileTimes are the files' modification times.
type fileTimes struct {
	cert time.Time
	key  time.Time
}

// Option configures a Certifier.
type Option func(*Certifier)

// WithClock replaces time.Now, for tests.
func WithClock(now func() time.Time) Option { return func(c *Certifier) { c.now = now } }

// New loads a certificate and its key from PEM files.
func New(certFile, keyFile string, log Logger, opts ...Option) (*Certifier, error) {
	c := &Certifier{certFile: certFile, keyFile: keyFile, log: log, now: time.Now}
	for _, opt := range opts {
		opt(c)
	}
	times, err := c.readFileTimes()
	if err != nil {
		return nil, err
	}
	if err := c.load(times); err != nil {
		return nil, err
	}
	c.checkedAt = c.now()
	return c, nil
}

// ServerConfig returns a TLS listener's configuration with the certificate.
func (c *Certifier) ServerConfig() *tls.Config {
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
	if now.Sub(c.checkedAt) < checkInterval {
		return c.currentCert
	}
	c.checkedAt = now
	if err := c.reload(); err != nil {
		c.log.Error("keeping the old certificate", err)
	}
	return c.currentCert
}

func (c *Certifier) reload() error {
	times, err := c.readFileTimes()
	if err != nil {
		return err
	}
	if times == c.loadedTimes {
		return nil
	}
	if err := c.load(times); err != nil {
		return err
	}
	c.log.Info("uses a new certificate", c.certFile)
	return nil
}

// load reads both files; times must have been read before, so that the next check sees a change made in between.
func (c *Certifier) load(times fileTimes) error {
	pair, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "certificate %s with key %s", c.certFile, c.keyFile)
	}
	if expiry := pair.Leaf.NotAfter; c.now().After(expiry) {
		// Not fatal: operators of a deployment that is down need the replica more than a valid certificate.
		c.log.Error("certificate "+c.certFile, errors.Errorf("expired on %s", expiry.UTC().Format(time.RFC3339)))
	}
	c.currentCert, c.loadedTimes = &pair, times
	return nil
}

func (c *Certifier) readFileTimes() (fileTimes, error) {
	cert, err := os.Stat(c.certFile)
	if err != nil {
		return fileTimes{}, errors.Wrap(err, "certificate")
	}
	key, err := os.Stat(c.keyFile)
	if err != nil {
		return fileTimes{}, errors.Wrap(err, "key of the certificate")
	}
	return fileTimes{cert: cert.ModTime(), key: key.ModTime()}, nil
}

// ClientConfig returns the configuration of a TLS client that trusts only the authorities in the PEM file caFile.
func ClientConfig(caFile string) (*tls.Config, error) {
	b, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "certificates of authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("certificates of authorities: %s holds no certificate in PEM", caFile)
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
	tlsConn := tls.Client(c, cfg)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		return nil, errors.Wrapf(err, "TLS with %s", addr)
	}
	return tlsConn, nil
}
