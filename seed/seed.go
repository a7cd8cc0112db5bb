// Package seed changes the fixed seeds of tests by an environment variable, so that a run
// can cover other random sequences.
package seed

import (
	"os"
	"strconv"
	"testing"
)

// EnvVar is the environment variable with the offset that is added to each fixed seed, an
// unsigned 32-bit integer; unset or empty means 0.
const EnvVar = "AZUREDEAL_SEED"

// For returns fixed plus the offset from EnvVar and logs this seed, so that the output of
// a failed test has it. It fails the test at once when EnvVar is not a valid offset.
func For(tb testing.TB, fixed uint64) uint64 {
	tb.Helper()
	text := os.Getenv(EnvVar)
	if text == "" {
		text = "0"
	}
	offset, err := strconv.ParseUint(text, 10, 32)
	if err != nil {
		tb.Fatalf("%s: %v", EnvVar, err)
	}
	tb.Logf("seed %d (%s=%d)", fixed+offset, EnvVar, offset)
	return fixed + offset
}
