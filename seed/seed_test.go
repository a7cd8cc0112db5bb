package seed_test

import (
	"fmt"
	"testing"

	"github.com/azuredeal/azuredeal/seed"
)

// recorder records the log and the fatal message of a test.
type recorder struct {
	testing.TB
	log, fatal string
}

func (r *recorder) Helper()                           {}
func (r *recorder) Logf(format string, args ...any)   { r.log = fmt.Sprintf(format, args...) }
func (r *recorder) Fatalf(format string, args ...any) { r.fatal = fmt.Sprintf(format, args...) }

// Guards against an offset that is ignored, a seed that changes without an offset, a log
// without the seed, and invalid offsets that are accepted.
func TestFor(t *testing.T) {
	for value, want := range map[string]uint64{"": 7, "0": 7, "13": 20} {
		t.Setenv(seed.EnvVar, value)
		r := &recorder{TB: t}
		if got := seed.For(r, 7); got != want || r.log != fmt.Sprintf("seed %d (AZUREDEAL_SEED=%d)", want, want-7) {
			t.Errorf("%q: seed %d, log %q", value, got, r.log)
		}
	}
	for _, value := range []string{"-1", "1.5", "x"} {
		t.Setenv(seed.EnvVar, value)
		r := &recorder{TB: t}
		if seed.For(r, 7); r.fatal == "" {
			t.Errorf("%q was accepted", value)
		}
	}
}
