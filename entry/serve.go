package entry

import (
	"cmp"
	"context"
	"crypto/tls"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	endTime     = 2 * time.Second // For refusals to reach callers at a hard end.
	streams     = 100             // Requests at once on one HTTP/2 connection.
	settleCheck = 20 * time.Millisecond
)

// newServer returns a server with the limits for callers. Its own log lines are
// at level debug, as it writes one for each TLS handshake that fails.
func (v *VM) newServer(ctx context.Context, handler http.Handler) *http.Server {
	limits := v.settings.Limits
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.ReadTime.Std(),
		IdleTimeout:       limits.IdleTime.Std(),
		MaxHeaderBytes:    limits.HeaderBytes,
		ErrorLog:          stdlog.New(v.log.Level(zerolog.DebugLevel), "", 0),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		Protocols:         new(http.Protocols),
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: streams},
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	return server
}

// serveCallers serves until the graceful shutdown has ended or ctx ends.
func (v *VM) serveCallers(ctx context.Context) error {
	if v.settings.Entry.CertFile == "" {
		return v.servePlain(ctx)
	}
	requests, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	server := v.newServer(requests, v.callers.handler())
	listener := netutil.LimitListener(v.listeners.entry, v.settings.Limits.Conns)
	ended := make(chan error, 1)
	go func() { ended <- v.accept(server, listener) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-v.drain:
		v.leave(ctx, server.Shutdown)
	}
	// Requests that are still in flight end with an accurate refusal.
	cut()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTime)
	defer cancel()
	if err := server.Shutdown(last); err != nil {
		return errors.Wrap(server.Close(), "close callers' connections")
	}
	return nil
}

// servePlain serves callers without TLS, by HTTP/1.1.
func (v *VM) servePlain(ctx context.Context) error {
	requests, cut := context.WithCancel(context.WithoutCancel(ctx))
	defer cut()
	ended := make(chan error, 1)
	go func() { ended <- v.server.Serve(requests, v.listeners.entry) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	case <-v.drain:
		v.server.DisableKeepAlives()
		v.leave(ctx, func(ctx context.Context) error {
			_ = v.listeners.entry.Close()
			return v.server.Shutdown(ctx)
		})
	}
	_ = v.listeners.entry.Close()
	// Requests that are still in flight end with an accurate refusal.
	cut()
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), endTime)
	defer cancel()
	return errors.Wrap(v.server.Shutdown(last), "close callers' connections")
}

func (v *VM) accept(server *http.Server, listener net.Listener) error {
	server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	err := server.ServeTLS(listener, v.settings.Entry.CertFile, v.settings.Entry.KeyFile)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// leave is the graceful shutdown. Callers keep an answer with addresses for the
// TTL, so the VM goes on serving that long after it has announced that it leaves.
func (v *VM) leave(ctx context.Context, shutdown func(context.Context) error) {
	stay := cmp.Or(v.settings.Drain.ServeTime, v.settings.Drain.TTL).Std()
	v.log.Info().Stringer("stay", stay).Msg("leaving")
	v.callers.leaving.Store(true)
	part[*member.Driver](v).Leave()
	if !sleep.For(ctx, stay) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, v.settings.Drain.Timeout.Std())
	defer cancel()
	err := shutdown(ctx)
	v.settle(ctx)
	v.log.Info().Err(err).Msg("callers' connections ended")
}

// settle waits for requests that other VMs have forwarded here.
func (v *VM) settle(ctx context.Context) {
	handler := part[*proxy.Handler](v)
	for len(handler.Inflight()) > 0 && sleep.For(ctx, settleCheck) {
	}
}

// operators gives the handler of the operators' API a type of its own, by which
// the container finds it.
type operators struct{ http.Handler }

func (v *VM) serveOperators(ctx context.Context) error {
	server := v.newServer(ctx, part[*operators](v).Handler)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(v.listeners.admin); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}
