package pool

import (
	"net/http"
	"strings"
)

// HeaderRefused is set on a 503 response when the backend server refused the request
// before starting it. Its value is the reason: "shed", "cold" or "draining".
const HeaderRefused = "Azuredeal-Refused"

// hopByHop lists the hop-by-hop header fields (RFC 9110, section 7.6.1). It includes
// Expect, because the request body is already in memory when the request is sent.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the hop-by-hop fields from h, including those that its
// Connection field lists.
func removeHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
