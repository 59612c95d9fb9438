package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Certificate says what a certificate states.
type Certificate struct {
	Serial int64
	Addr   netip.Addr
	Start  time.Time
	End    time.Time
}

// Issue makes a certificate with a new key, both in PEM; the certificate is its own authority.
func Issue(c Certificate) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "make key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(c.Serial), Subject: pkix.Name{CommonName: c.Addr.String()}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: c.Start, NotAfter: c.End, IPAddresses: []net.IP{c.Addr.AsSlice()},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign certificate")
	}
	b, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode key")
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return cert, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: b}), nil
}
