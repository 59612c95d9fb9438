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

// Certificate is the contents of a certificate, valid from NotBefore to NotAfter.
type Certificate struct {
	Serial    int64
	Addr      netip.Addr
	NotBefore time.Time
	NotAfter  time.Time
}

// Issue generates a key and a self-signed CA certificate for it, both in PEM.
func Issue(c Certificate) (cert, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(c.Serial), Subject: pkix.Name{CommonName: c.Addr.String()}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: c.NotBefore, NotAfter: c.NotAfter, IPAddresses: []net.IP{c.Addr.AsSlice()},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign certificate")
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode key")
	}
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return cert, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: pkcs8}), nil
}
