// Package certificates reads the TLS files of a process and follows their changes.
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
	// KeyFile holds its private key. It must be set.
	KeyFile string
	// AuthorityFile holds the authority of every certificate of the system. It must be set.
	AuthorityFile string
}

// Certificates holds the newest readable state of the files. Its methods are
// safe for concurrent use.
type Certificates struct {
	config Config

	mu       sync.Mutex
	modified [3]time.Time
	pair     *tls.Certificate
	pool     *x509.CertPool
}

// New reads the files.
func New(config Config) (c *Certificates, err error) {
	c = &Certificates{config: config}
	if err = c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Open reads the files that the settings of a process name. It returns nil, whose
// methods stand for plaintext, if they name none.
func Open(files settings.TLS) (c *Certificates, err error) {
	if !files.Enabled() {
		return nil, nil
	}
	return New(Config{CertificateFile: files.CertificateFile, KeyFile: files.KeyFile, AuthorityFile: files.AuthorityFile})
}

// Server returns a configuration that demands a certificate of the authority from
// clients, or nil for plaintext.
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

// Client returns a configuration that presents the certificate and accepts
// servers of the authority. Peers are known by IP numbers that change, so the
// chain is verified and the name is not. It returns nil for plaintext.
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
		// VerifyConnection below verifies the chain without the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   c.verify,
	}
}

// Expiry returns when the certificate of this process expires in seconds since
// 1970, or 0 for plaintext.
func (c *Certificates) Expiry() int64 {
	if c == nil {
		return 0
	}
	pair, _ := c.current()
	return pair.Leaf.NotAfter.Unix()
}

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

// current rereads the files if one changed. Files that cannot be read, as
// during a replacement, leave the last good state in use.
func (c *Certificates) current() (pair *tls.Certificate, pool *x509.CertPool) {
	c.mu.Lock()
	changed := c.modified != c.modifications()
	c.mu.Unlock()
	if changed {
		// A failed reload is tried again at the next handshake.
		_ = c.reload()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pair, c.pool
}

func (c *Certificates) modifications() (modified [3]time.Time) {
	for i, file := range []string{c.config.CertificateFile, c.config.KeyFile, c.config.AuthorityFile} {
		if info, err := os.Stat(file); err == nil {
			modified[i] = info.ModTime()
		}
	}
	return modified
}

func (c *Certificates) reload() (err error) {
	defer func() { err = errors.WithMessage(err, "read TLS files") }()
	modified := c.modifications()
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
	c.pair, c.pool, c.modified = &pair, pool, modified
	return nil
}
