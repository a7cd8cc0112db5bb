package peer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// messageKind is the label of a message in the metrics.
type messageKind string

const (
	kindHello     messageKind = "hello"
	kindHeartbeat messageKind = "heartbeat"
	kindFetch     messageKind = "fetch"
	kindForward   messageKind = "forward"
	kindPull      messageKind = "pull"
)

// messageCounters counts the messages of one kind in both directions.
type messageCounters struct {
	sentMessages, sentBytes         *metrics.Counter
	receivedMessages, receivedBytes *metrics.Counter
}

func (f *messageCounters) sent(n int) {
	f.sentMessages.Inc()
	f.sentBytes.Add(n)
}

func (f *messageCounters) received(n int) {
	f.receivedMessages.Inc()
	f.receivedBytes.Add(n)
}

type peerMetrics struct {
	byKind                                  map[messageKind]*messageCounters
	connSentBytes, connReceivedBytes        *metrics.Counter // Bytes on the wire, including TLS.
	failedHandshakes                        *metrics.Counter // Failed handshakes of accepted connections.
	refused                                 *metrics.Counter // Connections, links and calls refused because of a limit or an invalid Hello.
	replacedHeartbeats, oversizedHeartbeats *metrics.Counter // Heartbeats replaced by a newer one, and larger than maxHeartbeatBytes.
}

func newPeerMetrics(set *metrics.Set) *peerMetrics {
	c := &peerMetrics{
		byKind:              map[messageKind]*messageCounters{},
		connSentBytes:       set.GetOrCreateCounter(`azuredeal_peer_conn_sent_bytes_total`),
		connReceivedBytes:   set.GetOrCreateCounter(`azuredeal_peer_conn_received_bytes_total`),
		failedHandshakes:    set.GetOrCreateCounter(`azuredeal_peer_unauthorized_total`),
		refused:             set.GetOrCreateCounter(`azuredeal_peer_refused_total`),
		replacedHeartbeats:  set.GetOrCreateCounter(`azuredeal_peer_heartbeats_replaced_total`),
		oversizedHeartbeats: set.GetOrCreateCounter(`azuredeal_peer_heartbeats_too_large_total`),
	}
	for _, k := range []messageKind{kindHello, kindHeartbeat, kindFetch, kindForward, kindPull} {
		c.byKind[k] = &messageCounters{
			sentMessages:     set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_sent_messages_total{kind=%q}`, k)),
			sentBytes:        set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_sent_bytes_total{kind=%q}`, k)),
			receivedMessages: set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_received_messages_total{kind=%q}`, k)),
			receivedBytes:    set.GetOrCreateCounter(fmt.Sprintf(`azuredeal_peer_received_bytes_total{kind=%q}`, k)),
		}
	}
	return c
}
