package proxy

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// Guards against a log line of a failed request that omits the attempt that was in
// flight at the deadline, which is the one to investigate.
func TestLogListsEveryAttempt(t *testing.T) {
	stalled := serveRaw(t, func(net.Conn, *http.Request, []byte) bool {
		time.Sleep(300 * time.Millisecond)
		return false
	})
	f := newFixture(t, nil, stalled)
	var out bytes.Buffer
	f.opts.Log = zerolog.New(&out)
	f.do("POST", "/act", "", "Azuredeal-Deadline", "100", "X-Request-Id", "mine")
	var line struct {
		ID       string `json:"id"`
		Fault    string `json:"fault"`
		Attempts []struct {
			Server string `json:"server"`
			Fault  string `json:"fault"`
		} `json:"attempts"`
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatalf("%v in %q", err, out.String())
	}
	if line.ID != "mine" || line.Fault != "Timeout" || len(line.Attempts) != 1 || line.Attempts[0].Fault == "" {
		t.Errorf("line %s", out.String())
	}
}
