package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	// minKey is the shortest shared key that New accepts, in bytes. A peer
	// without the key sees one HMAC under it and can test guesses offline.
	minKey = 16

	protocol      = "azuredeal-peer-1" // ALPN name.
	exporterLabel = "EXPORTER-azuredeal-peer"
	clientLabel   = "azuredeal peer client 1"
	serverLabel   = "azuredeal peer server 1"

	certLife = 10 * 365 * 24 * time.Hour
)

// guard authenticates connections, by the shared key or by mutual TLS.
type guard struct {
	client *tls.Config
	server *tls.Config
	key    []byte // Nil with mutual TLS.
}

func newGuard(o Options) (*guard, error) {
	if len(o.CA) > 0 {
		return mutualGuard(o)
	}
	if len(o.SharedKey) < minKey {
		return nil, fault.New(fault.Invalid, "the shared key has %d bytes, at least %d are needed", len(o.SharedKey), minKey)
	}
	cert, err := ephemeralCert()
	if err != nil {
		return nil, err
	}
	config := baseConfig(cert)
	// The certificate proves nothing here: the HMAC over keying material of the
	// session does, and a relay in between has two sessions with different
	// material.
	config.InsecureSkipVerify = true
	return &guard{client: config, server: config, key: o.SharedKey}, nil
}

func baseConfig(cert tls.Certificate) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		// A resumed session would need its own proof of freshness.
		SessionTicketsDisabled: true,
	}
}

func mutualGuard(o Options) (*guard, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(o.CA) {
		return nil, fault.New(fault.Invalid, "the CA holds no certificate in PEM form")
	}
	cert, err := tls.X509KeyPair(o.Cert, o.CertKey)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "certificate of this VM")
	}
	server := baseConfig(cert)
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = roots
	client := baseConfig(cert)
	// Peers are dialed by address and VMs are replaced at any time, so the chain
	// is verified and the name is not.
	client.InsecureSkipVerify = true
	client.VerifyConnection = func(cs tls.ConnectionState) error { return verifyChain(cs, roots) }
	return &guard{client: client, server: server}, nil
}

func verifyChain(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, "the peer sent no certificate")
	}
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool()}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(opts)
	return fault.Wrap(fault.Unauthorized, err, "certificate of the peer")
}

func ephemeralCert() (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, fault.Wrap(fault.Internal, err, "generate key")
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, fault.Wrap(fault.Internal, err, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// dialed authenticates a connection that this VM opened.
func (g *guard) dialed(ctx context.Context, raw net.Conn) (net.Conn, error) {
	conn := tls.Client(raw, g.client)
	return conn, g.run(ctx, raw, conn, g.proveFirst)
}

// accepted authenticates a connection that a peer opened.
func (g *guard) accepted(ctx context.Context, raw net.Conn) (net.Conn, error) {
	conn := tls.Server(raw, g.server)
	return conn, g.run(ctx, raw, conn, g.proveSecond)
}

// run does the TLS handshake and, with a shared key, the proof, under the time
// limit of a handshake.
func (g *guard) run(ctx context.Context, raw net.Conn, conn *tls.Conn, prove func(io.ReadWriter, []byte) error) error {
	if err := raw.SetDeadline(time.Now().Add(handshakeTime)); err != nil {
		return fault.Wrap(fault.Unreachable, err, "set deadline")
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fault.Wrap(fault.Unauthorized, err, "handshake")
	}
	cs := conn.ConnectionState()
	if cs.NegotiatedProtocol != protocol {
		return fault.New(fault.Unauthorized, "the peer speaks %q", cs.NegotiatedProtocol)
	}
	if g.key != nil {
		material, err := cs.ExportKeyingMaterial(exporterLabel, nil, sha256.Size)
		if err != nil {
			return fault.Wrap(fault.Unauthorized, err, "export keying material")
		}
		if err := prove(conn, material); err != nil {
			return err
		}
	}
	return raw.SetDeadline(time.Time{})
}

// proof is the HMAC of one direction. The labels differ by direction, so a proof
// cannot be sent back to the peer that made it.
func (g *guard) proof(label string, material []byte) []byte {
	mac := hmac.New(sha256.New, g.key)
	mac.Write([]byte(label))
	mac.Write(material)
	return mac.Sum(nil)
}

func (g *guard) proveFirst(rw io.ReadWriter, material []byte) error {
	if _, err := rw.Write(g.proof(clientLabel, material)); err != nil {
		return fault.Wrap(fault.Unauthorized, err, "send proof")
	}
	return g.check(rw, serverLabel, material)
}

// proveSecond sends nothing before the peer has proved itself, so that a peer
// without the key receives nothing beyond the TLS handshake.
func (g *guard) proveSecond(rw io.ReadWriter, material []byte) error {
	if err := g.check(rw, clientLabel, material); err != nil {
		return err
	}
	_, err := rw.Write(g.proof(serverLabel, material))
	return fault.Wrap(fault.Unauthorized, err, "send proof")
}

func (g *guard) check(r io.Reader, label string, material []byte) error {
	var got [sha256.Size]byte
	if _, err := io.ReadFull(r, got[:]); err != nil {
		return fault.Wrap(fault.Unauthorized, err, "read proof")
	}
	if !hmac.Equal(got[:], g.proof(label, material)) {
		return fault.New(fault.Unauthorized, "the peer does not hold the shared key")
	}
	return nil
}
