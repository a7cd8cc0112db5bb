// Command azuredeal runs an entry VM and the tools of its operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
)

type commands struct {
	Serve   serveCommand   `cmd:"" help:"Run an entry VM."`
	Publish publishCommand `cmd:"" help:"Publish a release note."`
	Check   checkCommand   `cmd:"" help:"Check a settings file or a release note without a fleet."`
	Dump    dumpCommand    `cmd:"" help:"Print the state of a running process."`
	Free    freeCommand    `cmd:"" help:"Send a request again that was put in quarantine because it crashed backend servers."`
	Replay  replayCommand  `cmd:"" help:"Replay recorded traces against their stated outcomes."`
	Demo    demoCommand    `cmd:"" help:"Run a small fleet in this process and show how it treats a gray failure."`
}

// Exit codes. Invalid input gives exitInvalid, so that scripts can tell it from a failure to run.
const (
	exitFailure = 1
	exitInvalid = 2
)

// errInvalid means that the input is invalid and its problems were already printed.
var errInvalid = errors.New("invalid input")

func main() {
	parsed := kong.Parse(new(commands), kong.Name("azuredeal"),
		kong.Description("Proxy fleet for backend servers with gray failures."),
		kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	parsed.BindTo(ctx, (*context.Context)(nil))
	err := parsed.Run()
	switch {
	case err == nil:
	case errors.Is(err, errInvalid):
		os.Exit(exitInvalid)
	default:
		parsed.Errorf("%v", err)
		os.Exit(exitFailure)
	}
}
