package peer

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

var testKey = []byte("0123456789abcdef0123456789abcdef")

// inBubble runs fn under a paused clock. yamux keeps timers in a global pool,
// and a timer must not move between bubbles; two collections empty the pool.
func inBubble(t *testing.T, fn func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, fn)
	runtime.GC()
	runtime.GC()
}

// hub connects peers of one test by net.Pipe.
type hub struct {
	mu        sync.Mutex
	listeners map[string]*hubListener
	// Wrap, when set, replaces the dialer's end of a connection.
	wrap func(addr string, conn net.Conn) net.Conn
}

type hubListener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *hubListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *hubListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *hubListener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

func newHub() *hub { return &hub{listeners: map[string]*hubListener{}} }

func (h *hub) listen(addr string) func() (net.Listener, error) {
	l := &hubListener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners[addr] = l
	return func() (net.Listener, error) { return l, nil }
}

func (h *hub) dial(ctx context.Context, addr string) (net.Conn, error) {
	h.mu.Lock()
	l := h.listeners[addr]
	h.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.done:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if h.wrap != nil {
		return h.wrap(addr, near), nil
	}
	return near, nil
}

// start runs a peer at addr until the test ends.
func (h *hub) start(t *testing.T, addr string, change func(o *Options)) *Peer {
	t.Helper()
	o := Options{
		SharedKey: testKey,
		Self:      func() *wire.Member { return &wire.Member{Id: addr, Peer: addr, Incarnation: 1} },
		Listen:    h.listen(addr),
		Dial:      h.dial,
	}
	if change != nil {
		change(&o)
	}
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

// rawTLS opens a connection that speaks TLS but has no key.
func rawTLS(t *testing.T, h *hub, addr string) *tls.Conn {
	t.Helper()
	raw, err := h.dial(t.Context(), addr)
	if err != nil {
		t.Fatal(err)
	}
	conn := tls.Client(raw, &tls.Config{
		InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
	})
	if err := conn.HandshakeContext(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = raw.Close() })
	return conn
}

// Guards against a VM that answers, or serves a Hello to, a peer without the key.
func TestWrongKeyGetsNothing(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		var links atomic.Int32
		p := h.start(t, "a", func(o *Options) { o.OnLink = func(*Link, bool) { links.Add(1) } })
		conn := rawTLS(t, h, "a")
		if _, err := conn.Write(make([]byte, 32)); err != nil {
			t.Fatal(err)
		}
		if got, err := io.ReadAll(conn); len(got) > 0 {
			t.Errorf("a peer without the key received %d bytes (%v)", len(got), err)
		}
		wrong := h.start(t, "b", func(o *Options) { o.SharedKey = []byte("another key of 32 bytes length..") })
		if _, err := wrong.Link(t.Context(), "a"); fault.KindOf(err) != fault.Unauthorized {
			t.Errorf("link with a wrong key: %v", err)
		}
		if _, err := wrong.Forward(t.Context(), "a", &wire.Forward{}); fault.KindOf(err) != fault.Unreachable {
			t.Errorf("forward with a wrong key: %v", err)
		}
		synctest.Wait()
		if n := links.Load(); n != 0 {
			t.Errorf("%d link events for peers without the key", n)
		}
		if n := p.count.flows[kindHello].sentMessages.Get(); n != 0 {
			t.Errorf("%d Hello sent to peers without the key", n)
		}
		if n := p.count.unauthorized.Get(); n != 3 {
			t.Errorf("%d failed handshakes counted, want 3", n)
		}
	})
}

// Guards against a proof that is accepted in another session (replay) or from
// the side that did not make it (reflection).
func TestProofIsBoundToSessionAndSide(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		h.start(t, "a", nil)
		g := &guard{key: testKey}
		first, second := rawTLS(t, h, "a"), rawTLS(t, h, "a")
		cs := first.ConnectionState()
		material, err := cs.ExportKeyingMaterial(exporterLabel, nil, 32)
		if err != nil {
			t.Fatal(err)
		}
		recorded := g.proof(clientLabel, material)
		if _, err := first.Write(recorded); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(first, make([]byte, 32)); err != nil {
			t.Fatalf("a correct proof was refused: %v", err)
		}
		if _, err := second.Write(recorded); err != nil {
			t.Fatal(err)
		}
		if got, _ := io.ReadAll(second); len(got) > 0 {
			t.Errorf("a replayed proof was answered with %d bytes", len(got))
		}

		// A server without the key sends the client's own proof back.
		listen := h.listen("echo")
		ln, _ := listen()
		cert, _ := ephemeralCert()
		go func() {
			raw, err := ln.Accept()
			if err != nil {
				return
			}
			conn := tls.Server(raw, baseConfig(cert))
			_, _ = io.CopyN(conn, conn, 32)
		}()
		b := h.start(t, "b", nil)
		if _, err := b.Link(t.Context(), "echo"); fault.KindOf(err) != fault.Unauthorized {
			t.Errorf("link to a server that reflects the proof: %v", err)
		}
	})
}

// Guards against connections that stop in the middle of the handshake and hold
// their place for ever.
func TestTruncatedHandshakesAreBounded(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		p := h.start(t, "a", nil)
		for i := range maxUnproved {
			conn := rawTLS(t, h, "a")
			if _, err := conn.Write(make([]byte, i%32)); err != nil {
				t.Fatal(err)
			}
		}
		b := h.start(t, "b", nil)
		if _, err := b.Link(t.Context(), "a"); err == nil {
			t.Error("a connection above the bound was served")
		}
		if n := p.count.refused.Get(); n != 1 {
			t.Errorf("%d connections refused, want 1", n)
		}
		time.Sleep(handshakeTime + time.Second)
		if _, err := b.Link(t.Context(), "a"); err != nil {
			t.Errorf("after the time limit of the others: %v", err)
		}
	})
}

// Guards against a peer that makes this VM reserve memory by announcing a large
// message, and against a link that goes on after one.
func TestOversizedFrameEndsLink(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		down := make(chan struct{})
		h.start(t, "a", func(o *Options) {
			o.OnLink = func(_ *Link, up bool) {
				if !up {
					close(down)
				}
			}
		})
		b := h.start(t, "b", nil)
		l, err := b.Link(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		select {
		case <-down:
			t.Fatal("the link ended before the message")
		default:
		}
		// 64 KB and one byte. The other side may end the session on these bytes
		// before the write has returned, which yamux then reports.
		if _, err := l.stream.Write([]byte{0, 1, 0, 1}); err != nil && !errors.Is(err, yamux.ErrSessionShutdown) {
			t.Fatal(err)
		}
		<-down
	})
	r := &countingReader{}
	if _, err := readFrame(r, &wire.Heartbeat{}, maxHeartbeat); fault.KindOf(err) != fault.Invalid {
		t.Errorf("oversized length: %v", err)
	}
	if r.asked != lengthSize {
		t.Errorf("read %d bytes of an oversized message, want only the length", r.asked)
	}
}

type countingReader struct{ asked int }

func (r *countingReader) Read(b []byte) (int, error) {
	r.asked += len(b)
	for i := range b {
		b[i] = 0xff
	}
	return len(b), nil
}

// stall stops delivering reads while it is closed.
type stall struct {
	net.Conn
	gate atomic.Pointer[chan struct{}]
}

func (s *stall) Read(b []byte) (int, error) {
	if g := s.gate.Load(); g != nil {
		<-*g
	}
	return s.Conn.Read(b)
}

// Guards against a peer that stops reading and so blocks the sender, grows its
// queue, or receives outdated heartbeats once it reads again.
func TestStalledPeerHarmsNobody(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		var slow *stall
		h.wrap = func(addr string, conn net.Conn) net.Conn {
			if addr != "a" || slow != nil {
				return conn
			}
			slow = &stall{Conn: conn}
			return slow
		}
		var mu sync.Mutex
		up := map[string]*Link{}
		got := map[string][]uint64{}
		a := h.start(t, "a", func(o *Options) {
			o.OnLink = func(l *Link, isUp bool) {
				mu.Lock()
				defer mu.Unlock()
				delete(up, l.Remote().GetId())
				if isUp {
					up[l.Remote().GetId()] = l
				}
			}
		})
		for _, id := range []string{"slow", "good"} {
			p := h.start(t, id, func(o *Options) {
				o.OnHeartbeat = func(_ *Link, hb *wire.Heartbeat) {
					mu.Lock()
					defer mu.Unlock()
					got[id] = append(got[id], hb.GetSeq())
				}
			})
			if _, err := p.Link(t.Context(), "a"); err != nil {
				t.Fatal(err)
			}
		}
		synctest.Wait()
		gate := make(chan struct{})
		slow.gate.Store(&gate)
		links := []*Link{up["slow"], up["good"]}
		const sends = 50
		for seq := uint64(1); seq <= sends; seq++ {
			for _, l := range links {
				l.Send(func() *wire.Heartbeat { return &wire.Heartbeat{Seq: seq} })
			}
			synctest.Wait() // Send must not have blocked: no time passes.
		}
		if n := len(got["good"]); n != sends {
			t.Errorf("%d of %d heartbeats reached the peer that reads", n, sends)
		}
		close(gate)
		synctest.Wait()
		last := got["slow"]
		if len(last) == 0 || last[len(last)-1] != sends {
			t.Errorf("the stalled peer received %v, want the newest (%d) last", last, sends)
		}
		if len(last) > sends/2 || a.count.replaced.Get() == 0 {
			t.Errorf("the stalled peer received %d heartbeats, want the outdated ones replaced", len(last))
		}
		again := make(chan struct{})
		slow.gate.Store(&again)
		for range 3 { // The read that has begun before the stall takes one heartbeat.
			links[0].Send(func() *wire.Heartbeat { return &wire.Heartbeat{Seq: sends + 1} })
			synctest.Wait()
		}
		time.Sleep(2*writeTime + time.Second)
		mu.Lock()
		if up["slow"] != nil || up["good"] == nil {
			t.Errorf("after the write limit: links %v, want only the good one", up)
		}
		mu.Unlock()
		close(again)
	})
}

// Guards against a call whose error says that the peer cannot have received the
// request although it may have, and the reverse.
func TestForwardErrorSaysWhetherBytesWereSent(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		hold := make(chan struct{})
		var ran atomic.Int32
		h.start(t, "a", func(o *Options) {
			o.OnForward = func(ctx context.Context, f *wire.Forward) (*wire.Reply, error) {
				ran.Add(1)
				switch f.GetKey() {
				case "hang":
					<-hold
					return nil, ctx.Err()
				case "refuse":
					return nil, fault.New(fault.KeyExpired, "old")
				case "huge":
					return &wire.Reply{Body: make([]byte, maxMessage+1)}, nil
				}
				return &wire.Reply{Status: 200, Body: f.GetBody()}, nil
			}
		})
		b := h.start(t, "b", nil)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		cases := []struct {
			name, addr, key string
			ctx             context.Context
			body            int
			want            fault.Kind
			ran             int32
		}{
			{"no listener", "none", "", t.Context(), 0, fault.Unreachable, 0},
			{"context ended before", "a", "", ended, 0, fault.Unreachable, 0},
			{"too large", "a", "", t.Context(), maxMessage, fault.BodyTooLarge, 0},
			{"no reply", "a", "hang", t.Context(), 0, fault.OwnerLost, 1},
		}
		for _, linked := range []bool{false, true} {
			for _, c := range cases {
				ran.Store(0)
				ctx, cancel := context.WithTimeout(c.ctx, 1500*time.Millisecond)
				_, err := b.Forward(ctx, c.addr, &wire.Forward{Key: c.key, Body: make([]byte, c.body)})
				cancel()
				if fault.KindOf(err) != c.want || ran.Load() != c.ran {
					t.Errorf("%s (linked %v): %v, ran %d", c.name, linked, err, ran.Load())
				}
			}
			for key, want := range map[string]string{"refuse": "KeyExpired", "huge": "AnswerTooLarge", "": ""} {
				r, err := b.Forward(t.Context(), "a", &wire.Forward{Key: key, Body: []byte("x")})
				if err != nil || r.GetKind() != want {
					t.Errorf("key %q (linked %v): %v, %v", key, linked, r, err)
				}
			}
			if _, err := b.Link(t.Context(), "a"); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
		}
		close(hold)
	})
}

// Guards against a reply that drops the whole answer when some chunks do not fit,
// and against a second connection where a link could have carried the call.
func TestFetchUsesLinkAndStaysInBounds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		a := h.start(t, "a", func(o *Options) {
			o.OnFetch = func(_ context.Context, f *wire.Fetch) (*wire.Chunks, error) {
				c := &wire.Chunks{Head: []byte("head")}
				for range f.GetDigests() {
					c.Chunks = append(c.Chunks, make([]byte, 400<<10))
				}
				return c, nil
			}
		})
		b := h.start(t, "b", nil)
		if _, err := b.Link(t.Context(), "a"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		c, err := b.Fetch(t.Context(), "a", &wire.Fetch{Digests: make([][]byte, 5)})
		if err != nil || len(c.GetChunks()) != 2 || string(c.GetHead()) != "head" {
			t.Errorf("got %d chunks, head %q, %v; want 2 chunks", len(c.GetChunks()), c.GetHead(), err)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.sessions) != 1 {
			t.Errorf("%d sessions, want the link's alone", len(a.sessions))
		}
	})
}

// Guards against mutual TLS that lets in a certificate of another CA, or that
// still needs the shared key.
func TestMutualTLS(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		h := newHub()
		ours, other := newCA(t), newCA(t)
		as := func(trust, signer *testCA) func(o *Options) {
			return func(o *Options) {
				o.SharedKey = nil
				o.CA = trust.pem
				o.Cert, o.CertKey = signer.issue(t)
			}
		}
		a := h.start(t, "a", as(ours, ours))
		if _, err := h.start(t, "b", as(ours, ours)).Link(t.Context(), "a"); err != nil {
			t.Errorf("link with a certificate of the CA: %v", err)
		}
		if _, err := h.start(t, "c", as(ours, other)).Link(t.Context(), "a"); err == nil {
			t.Error("a client certificate of another CA was accepted")
		}
		h.start(t, "d", as(ours, other))
		if _, err := a.Link(t.Context(), "d"); fault.KindOf(err) != fault.Unauthorized {
			t.Errorf("link to a server with a certificate of another CA: %v", err)
		}
		if _, err := h.start(t, "e", nil).Link(t.Context(), "a"); err == nil {
			t.Error("the shared key replaced the client certificate")
		}
	})
}

type testCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
}

func newCA(t *testing.T) *testCA {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	cert := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	return &testCA{cert: cert, key: key, pem: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

func (c *testCA) issue(t *testing.T) (certPEM, keyPEM []byte) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, leaf, c.cert, key.Public(), c.key)
	if err != nil {
		t.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private})
}

func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(&wire.Heartbeat{Seq: 7, Members: []*wire.Member{{Id: "a"}}}, maxHeartbeat)
	f.Add(good)
	f.Add(good[:len(good)-1])
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &wire.Heartbeat{}
		n, err := readFrame(iotest.HalfReader(bytes.NewReader(data)), h, 1024)
		if err != nil {
			return
		}
		if n > len(data) || n > lengthSize+1024 {
			t.Fatalf("read %d bytes of %d", n, len(data))
		}
		frame, err := encodeFrame(h, 2048)
		if err != nil {
			t.Fatal(err)
		}
		again := &wire.Heartbeat{}
		if _, err := readFrame(iotest.OneByteReader(bytes.NewReader(frame)), again, 2048); err != nil || !proto.Equal(h, again) {
			t.Fatalf("round trip: %v", err)
		}
	})
}
