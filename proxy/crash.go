package proxy

import (
	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
)

// digest returns the digest of the request, whose body must have been read.
func (c *call) digest() crash.Digest {
	c.digestOnce.Do(func() {
		c.knownDigest = c.handler.opts.Hasher.Digest(crash.Request{
			Method: c.method, Host: canonicalHost(c.host), Target: c.target,
			Account: c.account, Credentials: c.header.Get("Authorization"), Body: c.body,
		})
	})
	return c.knownDigest
}

// observeEnd takes in the end of an attempt at a server. When the attempt has lost its
// connection, it finds out whether the server process has ended.
func (c *call) observeEnd(v *server, s board.Sample) {
	if c.handler.opts.Hasher == nil || s.Outcome != board.Reset && s.Outcome != board.Truncated {
		return
	}
	digest := c.digest()
	go func() {
		if v.pool.HasEnded(c.handler.opts.Background) {
			c.handler.recordCrash(c, v, digest, s)
		}
	}()
}

// recordCrash records that a server process ended while it had the request.
func (h *Handler) recordCrash(c *call, v *server, digest crash.Digest, s board.Sample) {
	c.service.counters.crashes.Inc()
	h.opts.Log.Info().Stringer("request", digest).Str("id", c.id).Str("service", c.service.note.Name).
		Str("route", c.route.name).Str("server", v.note.Addr).Str("instance", v.note.InstanceID).
		Dur("took", s.Took).Stringer("outcome", s.Outcome).
		Msg("backend server ended while it had the request")
}
