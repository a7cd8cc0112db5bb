package entry

import (
	"bytes"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/conf"
)

const (
	// memoryShare is the part of the memory of the process that it may hold for others. As much
	// again may be garbage, and the rest is for connections and the VM's own state.
	memoryShare = 0.25
	// maxFoundBudget bounds the budget where the memory is not set: a machine has more processes
	// than this one.
	maxFoundBudget = 128 << 20 // Bytes.
	megabyte       = 1 << 20
)

// memoryBudget returns how many bytes the process may hold for others.
func memoryBudget(l conf.Limits, log zerolog.Logger) int64 {
	if l.Memory > 0 {
		return int64(memoryShare * l.Memory * megabyte)
	}
	total, err := machineMemory()
	if err != nil {
		log.Warn().Err(err).Int64("budget", maxFoundBudget).Msg("cannot find the memory of the machine; limits.memory is not set either")
		return maxFoundBudget
	}
	return min(maxFoundBudget, int64(memoryShare*float64(total)))
}

// machineMemory returns the memory of the machine in bytes.
func machineMemory() (int64, error) {
	data, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, errors.Wrap(err, "read the memory of the machine")
	}
	return parseMemory(data)
}

func parseMemory(data []byte) (int64, error) {
	for line := range bytes.Lines(data) {
		fields := bytes.Fields(line)
		if len(fields) < 2 || string(fields[0]) != "MemTotal:" {
			continue
		}
		kilobytes, err := strconv.ParseInt(string(fields[1]), 10, 64)
		return kilobytes << 10, errors.Wrap(err, "parse the memory of the machine")
	}
	return 0, errors.New("the memory of the machine is not stated")
}
