package certificates

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"
)

type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{certificate: certificate, key: key}
}

// issue writes a certificate that expires at notAfter and returns its files.
func (a *authority) issue(t *testing.T, directory string, notAfter time.Time) Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(notAfter.UnixNano()), Subject: pkix.Name{CommonName: "process"}, NotAfter: notAfter,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	config := Config{
		CertificateFile: filepath.Join(directory, "certificate.pem"),
		KeyFile:         filepath.Join(directory, "key.pem"),
		AuthorityFile:   filepath.Join(directory, "authority.pem"),
	}
	writePEM(t, config.CertificateFile, "CERTIFICATE", der)
	writePEM(t, config.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(t, config.AuthorityFile, "CERTIFICATE", a.certificate.Raw)
	return config
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake returns an error unless both sides accept each other.
func handshake(server, client *tls.Config) (err error) {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return err
	}
	defer listener.Close()
	var tasks errgroup.Group
	tasks.Go(func() error {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		defer connection.Close()
		_, err = connection.Write([]byte("x"))
		return err
	})
	connection, err := tls.DialWithDialer(&net.Dialer{Timeout: time.Second}, "tcp", listener.Addr().String(), client)
	if err == nil {
		_, err = io.ReadFull(connection, make([]byte, 1))
		connection.Close()
	}
	return errors.Join(err, tasks.Wait())
}

// Guards against a process without a certificate of the authority that connects as an
// agent or applies a change.
func TestForeignCertificatesAreRejected(t *testing.T) {
	ownAuthority, foreignAuthority := newAuthority(t), newAuthority(t)
	expiry := time.Now().Add(time.Hour)
	trusted, err := New(ownAuthority.issue(t, t.TempDir(), expiry))
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := New(foreignAuthority.issue(t, t.TempDir(), expiry))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name           string
		server, client *tls.Config
		accepted       bool
	}{
		{"same authority", trusted.Server(), trusted.Client(), true},
		{"foreign client", trusted.Server(), foreign.Client(), false},
		{"foreign server", foreign.Server(), trusted.Client(), false},
		{"client without certificate", trusted.Server(), &tls.Config{InsecureSkipVerify: true}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(handshake(test.server, test.client) == nil, test.accepted)
		})
	}
}

// Guards against a process that keeps an expired certificate until it is restarted.
func TestFilesAreReloaded(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	directory := t.TempDir()
	first := time.Now().Add(time.Hour).UTC().Truncate(time.Second)
	c, err := New(a.issue(t, directory, first))
	is.NoErr(err)
	is.Equal(c.Expiry(), first.Unix())
	second := first.Add(time.Hour)
	config := a.issue(t, directory, second)
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(config.CertificateFile, later, later))
	is.Equal(c.Expiry(), second.Unix())
	is.NoErr(os.WriteFile(config.KeyFile, []byte("half written"), 0o600))
	is.Equal(c.Expiry(), second.Unix())
}
