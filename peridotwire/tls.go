package peridotwire

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// reloadInterval is how often the certificate files are looked at.
const reloadInterval = time.Second

// Identity is the certificate of a process and the authority that signs those
// of all processes. It reads its files again when they change, so that a new
// certificate needs no restart and cuts no connection. A nil Identity leaves
// connections open to anybody, which suits loopback only.
type Identity struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string

	mu       sync.Mutex
	readAt   time.Time
	modified time.Time
	pair     *tls.Certificate
	roots    *x509.CertPool
}

// Check reads the files once, so that a mistake shows at the start.
func (i *Identity) Check() error {
	if i == nil {
		return nil
	}
	_, _, err := i.current()
	return err
}

// current returns the certificate and authority as the files now have them. A
// file that cannot be read leaves the ones before in use.
func (i *Identity) current() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.pair != nil && time.Since(i.readAt) < reloadInterval {
		return i.pair, i.roots, nil
	}
	i.readAt = time.Now()
	modified, err := i.modifiedAt()
	if err == nil && (i.pair == nil || modified.After(i.modified)) {
		err = i.read()
		if err == nil {
			i.modified = modified
		}
	}
	if i.pair == nil {
		return nil, nil, err
	}
	return i.pair, i.roots, nil
}

func (i *Identity) modifiedAt() (time.Time, error) {
	var latest time.Time
	for _, name := range []string{i.CertificateFile, i.KeyFile, i.AuthorityFile} {
		info, err := os.Stat(name)
		if err != nil {
			return time.Time{}, errors.Wrap(err, "certificate file")
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (i *Identity) read() error {
	pair, err := tls.LoadX509KeyPair(i.CertificateFile, i.KeyFile)
	if err != nil {
		return errors.Wrap(err, "load certificate")
	}
	authority, err := os.ReadFile(i.AuthorityFile)
	if err != nil {
		return errors.Wrap(err, "load authority")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return errors.Errorf("no certificate in %s", i.AuthorityFile)
	}
	i.pair, i.roots = &pair, roots
	return nil
}

// serverConfig demands a certificate signed by the authority from each client.
func (i *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots, err := i.current()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// Dial opens a connection to an IP address and port and proves who both sides
// are.
func (i *Identity) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	if i == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	pair, roots, err := i.current()
	if err != nil {
		return nil, err
	}
	secure := &tls.Dialer{NetDialer: &dialer, Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      roots,
	}}
	return secure.DialContext(ctx, "tcp", address)
}

// handshake proves who both sides of an accepted connection are.
func (i *Identity) handshake(ctx context.Context, conn net.Conn, timeout time.Duration) (net.Conn, error) {
	if i == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	secure := tls.Server(conn, i.serverConfig())
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secure, nil
}
