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

// fileCheckInterval is the minimum time between two checks whether the certificate
// files have changed.
const fileCheckInterval = time.Second

// Identity is the certificate of a process and the certificate authority that signs
// the certificates of all processes. It reloads its files when they change, so a
// new certificate requires no restart and closes no connection. A nil Identity
// means connections without authentication and encryption, which are suitable only
// on the loopback interface. An Identity is safe for concurrent use.
type Identity struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string

	mu          sync.Mutex
	checkedAt   time.Time
	modTime     time.Time
	certificate *tls.Certificate
	roots       *x509.CertPool
}

// Check loads the files if they have not been loaded. A process calls it at startup
// so that an error in the files is reported at once.
func (i *Identity) Check() error {
	if i == nil {
		return nil
	}
	_, _, err := i.credentials()
	return err
}

// credentials returns the certificate and the certificate authority, reloaded if
// the files have changed. If the changed files cannot be loaded, it returns those
// loaded before.
func (i *Identity) credentials() (*tls.Certificate, *x509.CertPool, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.certificate != nil && time.Since(i.checkedAt) < fileCheckInterval {
		return i.certificate, i.roots, nil
	}
	i.checkedAt = time.Now()
	modTime, err := i.latestModTime()
	if err == nil && (i.certificate == nil || modTime.After(i.modTime)) {
		err = i.loadFiles()
		if err == nil {
			i.modTime = modTime
		}
	}
	if i.certificate == nil {
		return nil, nil, err
	}
	return i.certificate, i.roots, nil
}

// latestModTime returns the latest modification time of the files.
func (i *Identity) latestModTime() (time.Time, error) {
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

// loadFiles loads the certificate and the certificate authority from the files.
func (i *Identity) loadFiles() error {
	certificate, err := tls.LoadX509KeyPair(i.CertificateFile, i.KeyFile)
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
	i.certificate, i.roots = &certificate, roots
	return nil
}

// serverConfig returns the configuration of a server that requires a client
// certificate signed by the authority.
func (i *Identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, roots, err := i.credentials()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    roots,
			}, nil
		},
	}
}

// Dial connects to address, an IP address and port, and authenticates both sides.
// The timeout limits the connection setup and the handshake together.
func (i *Identity) Dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var dialer net.Dialer
	if i == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	certificate, roots, err := i.credentials()
	if err != nil {
		return nil, err
	}
	tlsDialer := &tls.Dialer{NetDialer: &dialer, Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		RootCAs:      roots,
	}}
	return tlsDialer.DialContext(ctx, "tcp", address)
}

// handshake authenticates both sides of an accepted connection. If it fails, it
// closes the connection.
func (i *Identity) handshake(ctx context.Context, conn net.Conn, timeout time.Duration) (net.Conn, error) {
	if i == nil {
		return conn, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tlsConn := tls.Server(conn, i.serverConfig())
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return tlsConn, nil
}
