package peridotstandin

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotwire"
)

const (
	certificateValidity = 24 * time.Hour
	fileMode            = 0o600
)

// Authority is the stand-in for the certificate authority that signs the
// certificates of the system's processes. Make one with NewAuthority.
type Authority struct {
	folder      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a new key. It writes its certificate,
// and the files of all identities, to the given folder.
func NewAuthority(folder string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make a key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(certificateValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign")
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse")
	}
	a := &Authority{folder: folder, certificate: certificate, key: key}
	return a, writePEM(a.certificatePath(), "CERTIFICATE", der)
}

func (a *Authority) certificatePath() string {
	return filepath.Join(a.folder, "authority.pem")
}

// Identity returns a new identity for a process on 127.0.0.1 and writes its
// certificate and key. The certificate is valid for 24 hours.
func (a *Authority) Identity(name string) (*peridotwire.Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "make a key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(certificateValidity),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, errors.Wrap(err, "sign")
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, errors.Wrap(err, "encode the key")
	}
	i := &peridotwire.Identity{
		CertificateFile: filepath.Join(a.folder, name+".pem"),
		KeyFile:         filepath.Join(a.folder, name+"-key.pem"),
		AuthorityFile:   a.certificatePath(),
	}
	if err := writePEM(i.CertificateFile, "CERTIFICATE", der); err != nil {
		return nil, err
	}
	return i, writePEM(i.KeyFile, "EC PRIVATE KEY", private)
}

// writePEM writes DER data to a PEM file that only its owner may read.
func writePEM(path, kind string, der []byte) error {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	return errors.Wrap(os.WriteFile(path, text, fileMode), "write "+path)
}
