package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"agateramp/internal/control/controlpb"
)

// selfSignedCertificate returns a certificate for the loopback address and a pool that contains it
// as its own authority.
func selfSignedCertificate(t *testing.T) (cert tls.Certificate, pool *x509.CertPool) {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	is.NoErr(err)
	parsed, err := x509.ParseCertificate(raw)
	is.NoErr(err)
	pool = x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: key}, pool
}

// TestClientCertificate guards against a server that accepts a stream from a peer without a client
// certificate.
func TestClientCertificate(t *testing.T) {
	is := is.New(t)
	cert, pool := selfSignedCertificate(t)
	server, client, noCert := newRecorder(), newRecorder(), newRecorder()
	s, err := Listen(Config{
		Address: "127.0.0.1:0", Hello: helloFrom(controlpb.Hello_ROLE_BALANCER, "b1"), Handler: server,
		TLS: &tls.Config{Certificates: []tls.Certificate{cert}, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert},
	})
	is.NoErr(err)
	defer s.Close()
	dial := func(h Handler, settings *tls.Config) {
		d, err := Dial(Config{Target: s.Address(), Hello: helloFrom(controlpb.Hello_ROLE_AGENT, "a1"), Handler: h, TLS: settings})
		is.NoErr(err)
		t.Cleanup(func() { is.NoErr(d.Close()) })
	}
	dial(noCert, &tls.Config{RootCAs: pool})
	dial(client, &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{cert}})
	is.NoErr(wait(t, "stream", client.connected).Send(ack(7)))
	is.Equal(wait(t, "frame", server.frames).GetAck().GetVersion(), uint64(7))
	select {
	case <-noCert.connected:
		t.Fatal("a peer without a client certificate got a stream")
	case <-time.After(300 * time.Millisecond):
	}
}
