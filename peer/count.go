package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// kind names a message in the counters.
type kind string

const (
	kindHello     kind = "hello"
	kindHeartbeat kind = "heartbeat"
	kindFetch     kind = "fetch"
	kindForward   kind = "forward"
)

// flow counts messages of one kind in both directions.
type flow struct {
	sentMessages, sentBytes         *metrics.Counter
	receivedMessages, receivedBytes *metrics.Counter
}

func (f *flow) sent(n int) {
	f.sentMessages.Inc()
	f.sentBytes.Add(n)
}

func (f *flow) received(n int) {
	f.receivedMessages.Inc()
	f.receivedBytes.Add(n)
}

type counters struct {
	flows            map[kind]*flow
	sent, received   *metrics.Counter // Bytes below TLS.
	unauthorized     *metrics.Counter // Handshakes that failed.
	refused          *metrics.Counter // Connections, links and calls above a bound.
	replaced, unsent *metrics.Counter // Heartbeats replaced by a newer one, and too large.
}

func newCounters(set *metrics.Set) *counters {
	c := &counters{
		flows:        map[kind]*flow{},
		sent:         set.GetOrCreateCounter(`azuredeal_peer_conn_sent_bytes_total`),
		received:     set.GetOrCreateCounter(`azuredeal_peer_conn_received_bytes_total`),
		unauthorized: set.GetOrCreateCounter(`azuredeal_peer_unauthorized_total`),
		refused:      set.GetOrCreateCounter(`azuredeal_peer_refused_total`),
		replaced:     set.GetOrCreateCounter(`azuredeal_peer_heartbeats_replaced_total`),
		unsent:       set.GetOrCreateCounter(`azuredeal_peer_heartbeats_too_large_total`),
	}
	for _, k := range []kind{kindHello, kindHeartbeat, kindFetch, kindForward} {
		c.flows[k] = &flow{
			sentMessages:     set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_sent_messages_total{kind=%q}`, k)),
			sentBytes:        set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_sent_bytes_total{kind=%q}`, k)),
			receivedMessages: set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_received_messages_total{kind=%q}`, k)),
			receivedBytes:    set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_received_bytes_total{kind=%q}`, k)),
		}
	}
	return c
}
