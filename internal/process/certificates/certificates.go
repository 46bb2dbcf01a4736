// Package certificates provides the TLS configurations of a process from PEM files and
// reloads the files when they change, so that a renewed certificate needs no restart.
// Both sides of a connection present a certificate of the same authority.
package certificates

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"

	"agateramp/internal/process/settings"
)

// Config names PEM files.
type Config struct {
	// CertificateFile holds the certificate of this process. It must be set.
	CertificateFile string
	// KeyFile holds the private key of the certificate. It must be set.
	KeyFile string
	// AuthorityFile holds the certificate of the authority that signs every certificate of
	// the system. It must be set.
	AuthorityFile string
}

// Certificates holds the last valid content of the files. A nil Certificates means
// plaintext. Its methods are safe for concurrent use.
type Certificates struct {
	config Config

	mu sync.Mutex
	// modTimes are the modification times of the certificate, key and authority files.
	modTimes [3]time.Time
	pair     *tls.Certificate
	pool     *x509.CertPool
}

// New reads the files, and returns an error if they are missing or invalid.
func New(config Config) (c *Certificates, err error) {
	c = &Certificates{config: config}
	if err = c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Open reads the files that the settings of a process name. It returns nil, which means
// plaintext, if they name none.
func Open(files settings.TLS) (c *Certificates, err error) {
	if !files.Enabled() {
		return nil, nil
	}
	return New(Config{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile, AuthorityFile: files.AuthorityFile})
}

// Server returns a configuration that requires client certificates of the authority, or
// nil for plaintext.
func (c *Certificates) Server() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns a configuration that presents the certificate and accepts servers with
// a certificate of the authority, or nil for plaintext. It verifies the certificate
// chain but not the host name, because peers are addressed by IP addresses that change.
func (c *Certificates) Client() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := c.current()
			return pair, nil
		},
		// VerifyConnection verifies the chain instead, without the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// Expiry returns when the certificate of this process expires, in seconds since 1970,
// or 0 for plaintext.
func (c *Certificates) Expiry() int64 {
	if c == nil {
		return 0
	}
	pair, _ := c.current()
	return pair.Leaf.NotAfter.Unix()
}

// verify checks that the certificate chain of a server leads to the authority.
func (c *Certificates) verify(state tls.ConnectionState) (err error) {
	if len(state.PeerCertificates) == 0 {
		return errors.New("the server presented no certificate")
	}
	_, pool := c.current()
	options := x509.VerifyOptions{Roots: pool, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, intermediate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(intermediate)
	}
	_, err = state.PeerCertificates[0].Verify(options)
	return errors.WithMessage(err, "verify server certificate")
}

// current returns the certificate and the authority, after a reload if a file changed. If
// the files cannot be read, for example while they are replaced, the last valid content
// stays in use.
func (c *Certificates) current() (pair *tls.Certificate, pool *x509.CertPool) {
	c.mu.Lock()
	changed := c.modTimes != c.statModTimes()
	c.mu.Unlock()
	if changed {
		// A failed reload is tried again at the next handshake.
		_ = c.reload()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair, c.pool
}

func (c *Certificates) statModTimes() (modTimes [3]time.Time) {
	for i, file := range []string{c.config.CertificateFile, c.config.KeyFile, c.config.AuthorityFile} {
		if info, err := os.Stat(file); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

func (c *Certificates) reload() (err error) {
	defer func() { err = errors.WithMessage(err, "read TLS files") }()
	modTimes := c.statModTimes()
	pair, err := tls.LoadX509KeyPair(c.config.CertificateFile, c.config.KeyFile)
	if err != nil {
		return err
	}
	authority, err := os.ReadFile(c.config.AuthorityFile)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return errors.Errorf("%s holds no certificate", c.config.AuthorityFile)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pair, c.pool, c.modTimes = &pair, pool, modTimes
	return nil
}
