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
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

const (
	// minSharedKeyBytes is the length of the shortest shared key that New accepts. A
	// peer without the key that is dialed receives one HMAC made with it and can test
	// guessed keys offline.
	minSharedKeyBytes = 16

	alpnProtocol  = "azuredeal-peer-1"
	exporterLabel = "EXPORTER-azuredeal-peer"
	clientLabel   = "azuredeal peer client 1"
	serverLabel   = "azuredeal peer server 1"

	certValidity = 10 * 365 * 24 * time.Hour
)

// authenticator authenticates connections by the shared key or by mutual TLS.
type authenticator struct {
	clientConfig *tls.Config
	serverConfig *tls.Config
	sharedKey    atomic.Pointer[[]byte] // Nil with mutual TLS.
}

func newAuthenticator(o Options) (*authenticator, error) {
	if len(o.CA) > 0 {
		return newMutualTLSAuthenticator(o)
	}
	if len(o.SharedKey) < minSharedKeyBytes {
		return nil, fault.New(fault.Invalid, "the shared key has %d bytes, at least %d are needed", len(o.SharedKey), minSharedKeyBytes)
	}
	cert, err := ephemeralCert()
	if err != nil {
		return nil, err
	}
	config := baseConfig(cert)
	// The certificate is self-signed and not verified. The HMAC over exported keying
	// material authenticates the peer; a man in the middle has two TLS sessions with
	// different keying material.
	config.InsecureSkipVerify = true
	a := &authenticator{clientConfig: config, serverConfig: config}
	a.sharedKey.Store(&o.SharedKey)
	return a, nil
}

func baseConfig(cert tls.Certificate) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{alpnProtocol},
		// A resumed session would need a separate protection against replay.
		SessionTicketsDisabled: true,
	}
}

func newMutualTLSAuthenticator(o Options) (*authenticator, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(o.CA) {
		return nil, fault.New(fault.Invalid, "the CA holds no certificate in PEM form")
	}
	cert, err := tls.X509KeyPair(o.Cert, o.CertKey)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "certificate of this VM")
	}
	serverConfig := baseConfig(cert)
	serverConfig.ClientAuth = tls.RequireAndVerifyClientCert
	serverConfig.ClientCAs = roots
	clientConfig := baseConfig(cert)
	// Peers are dialed by address and VMs are replaced at any time, so only the
	// certificate chain is verified, not the host name.
	clientConfig.InsecureSkipVerify = true
	clientConfig.VerifyConnection = func(cs tls.ConnectionState) error { return verifyChain(cs, roots) }
	return &authenticator{clientConfig: clientConfig, serverConfig: serverConfig}, nil
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
	return fault.Wrap(fault.Unauthorized, err, "verify certificate of the peer")
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
		NotAfter:     now.Add(certValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return tls.Certificate{}, fault.Wrap(fault.Internal, err, "create certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, nil
}

// authenticateDialed authenticates a connection that this VM opened.
func (a *authenticator) authenticateDialed(ctx context.Context, raw net.Conn) (net.Conn, error) {
	conn := tls.Client(raw, a.clientConfig)
	return conn, a.handshake(ctx, raw, conn, a.proveAsClient)
}

// authenticateAccepted authenticates a connection that a peer opened.
func (a *authenticator) authenticateAccepted(ctx context.Context, raw net.Conn) (net.Conn, error) {
	conn := tls.Server(raw, a.serverConfig)
	return conn, a.handshake(ctx, raw, conn, a.proveAsServer)
}

// handshake does the TLS handshake and, with a shared key, the exchange of proofs,
// within handshakeTimeout.
func (a *authenticator) handshake(ctx context.Context, raw net.Conn, conn *tls.Conn, prove func(io.ReadWriter, []byte) error) error {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return fault.Wrap(fault.Unreachable, err, "set deadline")
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	defer stop()
	if err := conn.HandshakeContext(ctx); err != nil {
		return fault.Wrap(fault.Unauthorized, err, "TLS handshake")
	}
	cs := conn.ConnectionState()
	if cs.NegotiatedProtocol != alpnProtocol {
		return fault.New(fault.Unauthorized, "the peer negotiated ALPN protocol %q", cs.NegotiatedProtocol)
	}
	if a.sharedKey.Load() != nil {
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

// proof returns the HMAC that proves possession of the shared key. The label differs
// by direction, so a proof cannot be reflected to the peer that made it.
func (a *authenticator) proof(label string, material []byte) []byte {
	mac := hmac.New(sha256.New, *a.sharedKey.Load())
	mac.Write([]byte(label))
	mac.Write(material)
	return mac.Sum(nil)
}

func (a *authenticator) proveAsClient(rw io.ReadWriter, material []byte) error {
	if _, err := rw.Write(a.proof(clientLabel, material)); err != nil {
		return fault.Wrap(fault.Unauthorized, err, "send proof")
	}
	return a.verifyProof(rw, serverLabel, material)
}

// proveAsServer verifies the proof of the client before it sends its own, so a client
// without the key receives nothing beyond the TLS handshake.
func (a *authenticator) proveAsServer(rw io.ReadWriter, material []byte) error {
	if err := a.verifyProof(rw, clientLabel, material); err != nil {
		return err
	}
	_, err := rw.Write(a.proof(serverLabel, material))
	return fault.Wrap(fault.Unauthorized, err, "send proof")
}

func (a *authenticator) verifyProof(r io.Reader, label string, material []byte) error {
	var got [sha256.Size]byte
	if _, err := io.ReadFull(r, got[:]); err != nil {
		return fault.Wrap(fault.Unauthorized, err, "read proof")
	}
	if !hmac.Equal(got[:], a.proof(label, material)) {
		return fault.New(fault.Unauthorized, "the proof of the peer does not match the shared key")
	}
	return nil
}
