// Package seed lets a run of the tests replace their fixed seeds.
package seed

import (
	"os"
	"strconv"
	"testing"
)

// EnvVar is the environment variable with the whole number that is added to
// each fixed seed; unset or empty counts as 0.
const EnvVar = "AZUREDEAL_SEED"

// For returns the seed to use in place of a fixed one and logs it, so that the
// output of a failed test names it. It ends the test when Variable is not a
// whole number.
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
