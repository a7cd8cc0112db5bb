package pool

import (
	"context"
	"net"
	"syscall"
	"testing"
)

// Guards against a server process that is taken for ended although it has only reset a
// connection, refuses further ones for want of room, or cannot be reached, and against the end
// of a process that is not noticed.
func TestHasEnded(t *testing.T) {
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	closed := listen()
	_ = closed.Close()
	accepting, resetting := listen(), listen()
	go func() {
		for {
			c, err := resetting.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	ending := listen()
	go func() {
		c, err := ending.Accept()
		if err != nil {
			return
		}
		_ = ending.Close()
		_ = c.Close()
	}()
	unreachable := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.EHOSTUNREACH}
	}
	for _, c := range []struct {
		name string
		addr net.Listener
		dial func(context.Context, string, string) (net.Conn, error)
		want bool
	}{
		{"nobody listens", closed, nil, true},
		{"accepts", accepting, nil, false},
		{"resets new connections", resetting, nil, false},
		{"ends during the check", ending, nil, true},
		{"unreachable", closed, unreachable, false},
	} {
		p := New(c.addr.Addr().String(), Options{Dial: c.dial})
		if got := p.HasEnded(t.Context()); got != c.want {
			t.Errorf("%s: ended = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against the end of a process that is not noticed while the ends of its idle connections
// have not arrived yet.
func TestHasEndedWithIdleConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	p := New(l.Addr().String(), Options{})
	p.open = 1
	p.putIdle(newServerConn(conn, nil))
	_ = l.Close()
	if !p.HasEnded(t.Context()) {
		t.Error("not ended although nobody listens")
	}
}
