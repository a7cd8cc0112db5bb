package pool

import (
	"net/http"
	"strings"
)

// HeaderRefused names the kind of a refusal before the start, on a 503.
const HeaderRefused = "Azuredeal-Refused"

// hopByHop are the fields that belong to one connection (RFC 9110, section
// 7.6.1), with Expect, because a request body is already here when it is sent.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// removeHopByHop deletes the fields of one connection from h, with those that
// its Connection field names.
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
