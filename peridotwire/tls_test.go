package peridotwire

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// authority signs certificates in tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	a := &authority{certificate: certificate, key: key, file: filepath.Join(t.TempDir(), "authority.pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

// identity returns an identity signed by a.
func (a *authority) identity(t *testing.T) *Identity {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "process"},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	i := &Identity{CertificateFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem"), AuthorityFile: a.file}
	writePEM(t, i.CertificateFile, "CERTIFICATE", der)
	writePEM(t, i.KeyFile, "EC PRIVATE KEY", private)
	return i
}

func writePEM(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// echo answers every call with its method.
type echo struct{}

func (echo) Call(_ context.Context, _ *Peer, method string, _ json.RawMessage) (any, error) {
	return method, nil
}

func (echo) Notice(*Peer, string, json.RawMessage) {}

func TestServerRefusesPeersWithoutValidCertificate(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	foreign := theirs.identity(t)
	foreign.AuthorityFile = ours.file // It trusts us; we must not trust it.
	tests := []struct {
		name     string
		identity *Identity
		admitted bool
	}{
		{"signed by our authority", ours.identity(t), true},
		{"signed by another authority", foreign, false},
		{"no certificate at all", nil, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			refused := make(chan error, 1)
			server := &Server{Listener: listener, Handler: echo{}, Identity: ours.identity(t), Refused: func(err error) { refused <- err }}
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error, 1)
			go func() { served <- server.Serve(ctx) }()

			got := callOnce(ctx, test.identity, listener.Addr().String())
			if got != test.admitted {
				t.Errorf("admitted: got %v, want %v", got, test.admitted)
			}
			if !got {
				<-refused // Who was not admitted was refused and reported.
			}
			stop()
			if err := <-served; err != nil {
				t.Errorf("Serve: got %v, want nil", err)
			}
		})
	}
}

// callOnce reports whether a call over a new connection is answered.
func callOnce(ctx context.Context, i *Identity, address string) bool {
	conn, err := i.Dial(ctx, address, time.Minute)
	if err != nil {
		return false
	}
	p := NewPeer(ctx, conn, echo{})
	defer p.Close()
	var answer string
	return p.Call(ctx, "Hello", struct{}{}, &answer) == nil && answer == "Hello"
}
