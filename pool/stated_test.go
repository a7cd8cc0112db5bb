package pool

import (
	"net/http"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
)

// Guards against statements of a server that are missed, and against malformed ones that keep
// it from being used, or that are taken from another process.
func TestStated(t *testing.T) {
	d := DefaultDialect()
	for _, c := range []struct {
		name    string
		status  int
		leaving []string
		after   []string
		want    Stated
	}{
		{"nothing", 200, nil, nil, Stated{}},
		{"leaving", 200, []string{"1"}, nil, Stated{Leaving: true}},
		{"leaving, refused", 503, []string{"1"}, []string{"2"}, Stated{Leaving: true, StayAway: 2 * time.Second}},
		{"leaving, failed", 500, []string{" 1 "}, nil, Stated{Leaving: true}},
		{"leaving, repeated", 200, []string{"0", "1"}, nil, Stated{Leaving: true}},
		{"not leaving", 200, []string{"0"}, nil, Stated{}},
		{"leaving, malformed", 200, []string{"yes", "", "11"}, nil, Stated{}},
		{"another process", 421, []string{"1"}, []string{"5"}, Stated{}},
		{"fraction", 503, nil, []string{"0.25"}, Stated{StayAway: 250 * time.Millisecond}},
		{"repeated", 503, nil, []string{"1", "3", "2"}, Stated{StayAway: 3 * time.Second}},
		{"zero", 503, nil, []string{"0"}, Stated{}},
		{"negative", 503, nil, []string{"-3"}, Stated{}},
		{"huge", 503, nil, []string{"99999999999999999999999999"}, Stated{StayAway: limit.MaxHold}},
		{"exponent", 503, nil, []string{"1e9"}, Stated{}},
		{"not a number", 503, nil, []string{"NaN"}, Stated{}},
		{"date", 503, nil, []string{"Fri, 04 Dec 2026 21:00:00 GMT"}, Stated{}},
		{"other status", 500, nil, []string{"5"}, Stated{}},
		{"too many requests", 429, nil, []string{"5"}, Stated{}},
	} {
		h := http.Header{}
		if c.leaving != nil {
			h[HeaderLeaving] = c.leaving
		}
		if c.after != nil {
			h["Retry-After"] = c.after
		}
		if got := d.stated(c.status, h); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.name, got, c.want)
		}
		// Other VMs are told of a server that leaves as of one that accepts no requests.
		rate, ok := d.statedRate(c.status, h)
		if c.want.Leaving && (!ok || rate != 0) || !c.want.Leaving && ok && rate != board.Unlimited {
			t.Errorf("%s: rate %v, %v", c.name, rate, ok)
		}
	}
}
