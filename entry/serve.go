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

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/member"
	"github.com/azuredeal/azuredeal/proxy"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	hardShutdownTimeout   = 2 * time.Second // For error responses to canceled requests.
	maxStreams            = 100             // Concurrent requests on one HTTP/2 connection.
	forwardedPollInterval = 20 * time.Millisecond
	// Bytes that HTTP/2 callers may send ahead of what is read of their bodies.
	maxConnReceiveBytes   = 512 << 10
	maxStreamReceiveBytes = 256 << 10
)

// newServer returns an HTTP server with the limits of the settings. The server logs
// each failed TLS handshake, so its own messages go to level debug.
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
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: maxConnReceiveBytes, MaxReceiveBufferPerStream: maxStreamReceiveBytes,
		},
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	return server
}

// serveCallers serves callers until the graceful shutdown completes or ctx is done.
func (v *VM) serveCallers(ctx context.Context) error {
	if v.settings.Entry.CertFile == "" {
		return v.servePlaintext(ctx)
	}
	requestCtx, cutOffRequests := withCutOff(ctx)
	defer cutOffRequests()
	server := v.newServer(requestCtx, v.callerAPI.closeWhenLeaving(v.callerAPI.handler()))
	listener := netutil.LimitListener(v.listeners.entry, v.settings.Limits.Conns)
	serveErr := make(chan error, 1)
	go func() { serveErr <- v.serveTLS(server, listener) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	case <-v.drain:
		v.gracefulShutdown(ctx, server.Shutdown)
	}
	// Handlers of in-flight requests still respond with the error that fits their state.
	cutOffRequests()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), hardShutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Wrap(server.Close(), "close callers' connections")
	}
	return nil
}

var errCutOff = fault.New(fault.CutOff, "the VM ends")

// withCutOff returns a context for requests that outlives ctx, and the function that ends it
// with a cause by which they tell that the VM cut them off.
func withCutOff(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	return ctx, func() { cancel(errCutOff) }
}

// servePlaintext is serveCallers without TLS, over HTTP/1.1.
func (v *VM) servePlaintext(ctx context.Context) error {
	requestCtx, cutOffRequests := withCutOff(ctx)
	defer cutOffRequests()
	serveErr := make(chan error, 1)
	go func() { serveErr <- v.server.Serve(requestCtx, v.listeners.entry) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	case <-v.drain:
		v.server.DisableKeepAlives()
		v.gracefulShutdown(ctx, func(ctx context.Context) error {
			_ = v.listeners.entry.Close()
			return v.server.Shutdown(ctx)
		})
	}
	_ = v.listeners.entry.Close()
	// Handlers of in-flight requests still respond with the error that fits their state.
	cutOffRequests()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), hardShutdownTimeout)
	defer cancel()
	if err := v.server.Shutdown(shutdownCtx); err != nil {
		v.log.Warn().Err(err).Int("connections", v.server.Abort()).Msg("callers' connections did not end in time; closing them")
	}
	return nil
}

func (v *VM) serveTLS(server *http.Server, listener net.Listener) error {
	server.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12}
	err := server.ServeTLS(listener, v.settings.Entry.CertFile, v.settings.Entry.KeyFile)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// gracefulShutdown announces that the VM is leaving, keeps serving for the serve time of
// the drain settings and then calls shutdown with the drain timeout. Callers cache a list
// of addresses for the TTL, so the VM serves that long by default.
func (v *VM) gracefulShutdown(ctx context.Context, shutdown func(context.Context) error) {
	serveTime := cmp.Or(v.settings.Drain.ServeTime, v.settings.Drain.TTL).Std()
	v.log.Info().Stringer("stay", serveTime).Msg("graceful shutdown started")
	serveUntil := time.Now().Add(serveTime)
	component[*proxy.Handler](v).SetStop(serveUntil, serveUntil.Add(v.settings.Drain.Timeout.Std()))
	v.callerAPI.leaving.Store(true)
	component[*member.Driver](v).Leave()
	if !sleep.For(ctx, serveTime) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, v.settings.Drain.Timeout.Std())
	defer cancel()
	err := shutdown(ctx)
	v.waitForwarded(ctx)
	stats := component[*proxy.Handler](v).StopStats()
	v.log.Info().Err(err).Uint64("served", stats.Served).Uint64("failed", stats.Failed).Uint64("refused", stats.Refused).
		Int("running", v.running()).Msg("callers' connections closed")
}

// waitForwarded waits until no request is in flight, or ctx is done: shutdown doesn't
// wait for requests that other VMs have forwarded.
func (v *VM) waitForwarded(ctx context.Context) {
	for v.running() > 0 && sleep.For(ctx, forwardedPollInterval) {
	}
}

// running returns the number of attempts in flight at backend servers.
func (v *VM) running() int {
	sum := 0
	for _, s := range component[*proxy.Handler](v).Inflight() {
		sum += s.Count
	}
	return sum
}

// operatorsAPI is the handler of the operators' API. The container looks components up
// by type, so it needs a type of its own.
type operatorsAPI struct{ http.Handler }

func (v *VM) serveOperators(ctx context.Context) error {
	server := v.newServer(ctx, component[*operatorsAPI](v).Handler)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(v.listeners.admin); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}
