// Command standin runs stand-ins for the platform and for backend servers, for tests and
// quick starts.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"golang.org/x/net/netutil"

	"github.com/azuredeal/azuredeal/objapi"
	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/worker"
)

type commands struct {
	Platform platformCommand `cmd:"" help:"Run the platform: object API and list of VMs."`
	Worker   workerCommand   `cmd:"" help:"Run a backend server that can show gray failures."`
}

type platformCommand struct {
	Addr    string `help:"Address to serve on, ip:port." default:"127.0.0.1:0"`
	Latency int    `help:"Added before each call, in milliseconds." default:"2"`
	Outage  string `help:"Outage to begin with: drop, refuse or hang." enum:",drop,refuse,hang" default:""`
	Lost    int    `help:"Lose the answer of one in this many writes; 0 loses none." default:"0"`
	Seed    uint64 `help:"Seed of the lost answers." default:"1"`
	Conns   int    `help:"Connections." default:"4000"`
	// Restore is a time span, as a copy is made halfway between two restores.
	Restore time.Duration `help:"Come back from a copy at this interval, each time without the writes of its second half; 0s never does." default:"0s"`
}

// Run serves until SIGINT or SIGTERM.
func (c *platformCommand) Run(ctx context.Context, log zerolog.Logger) error {
	server := objapi.New(store.NewMemory())
	server.SetFaults(objapi.Faults{Latency: c.Latency, Outage: c.Outage, Lost: c.Lost, Seed: c.Seed})
	if c.Restore > 0 {
		go c.restore(ctx, log, server)
	}
	return serve(ctx, log, c.Addr, c.Conns, server)
}

// restore makes the platform come back from copies until ctx ends.
func (c *platformCommand) restore(ctx context.Context, log zerolog.Logger, server *objapi.Server) {
	for {
		if !sleep.For(ctx, c.Restore/2) {
			return
		}
		server.Copy()
		if !sleep.For(ctx, c.Restore/2) {
			return
		}
		server.Restore()
		log.Info().Uint64("era", server.Era()).Msg("came back from a copy")
	}
}

type workerCommand struct {
	Addr   string        `help:"Address to serve on, ip:port." default:"127.0.0.1:0"`
	Name   string        `help:"Name in answers." default:"worker"`
	Slots  int           `help:"Requests that run at once." default:"3"`
	Queue  int           `help:"Requests that wait for a slot." default:"6"`
	Conns  int           `help:"Connections." default:"400"`
	Median time.Duration `help:"Median service time." default:"20ms"`
	Sigma  float64       `help:"Sigma of the lognormal service time." default:"0.5"`
	Cold   time.Duration `help:"Time after the start in which requests are refused." default:"0s"`
	Leave  time.Duration `help:"Time after the start from which it states that it leaves; 0s never does." default:"0s"`
	Away   time.Duration `help:"Time for which it wants no requests when it is full; 0s does not say." default:"0s"`
	Deadly string        `help:"Path prefix of requests that end the process once they run; empty for none." default:""`
	Seed   uint64        `help:"Seed of the service times." default:"1"`
}

const exitDeadly = 3 // Exit code of a worker that a request has ended.

// Run serves until SIGINT or SIGTERM, or until a deadly request ends the process.
func (c *workerCommand) Run(ctx context.Context, log zerolog.Logger) error {
	server := worker.New(worker.Options{
		Name: c.Name, Slots: c.Slots, Queue: c.Queue,
		Median: c.Median, Sigma: c.Sigma, Cold: c.Cold, Leave: c.Leave, Away: c.Away, Seed: c.Seed,
		Deadly: c.Deadly, End: func() { os.Exit(exitDeadly) },
	})
	return serve(ctx, log, c.Addr, c.Conns, server.Handler())
}

// readHeaderTimeout bounds how long a connection may take to send the headers of a request.
const readHeaderTimeout = 10 * time.Second

// serve serves HTTP on addr until ctx ends, on at most conns connections at once. It logs
// the address, so that the port that was chosen for port 0 is known.
func serve(ctx context.Context, log zerolog.Logger, addr string, conns int, handler http.Handler) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	log.Info().Str("addr", listener.Addr().String()).Msg("serving")
	err = server.Serve(netutil.LimitListener(listener, conns))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	parsed := kong.Parse(new(commands), kong.Name("standin"),
		kong.Description("Stand-ins for the platform and for backend servers."),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(log))
	parsed.FatalIfErrorf(parsed.Run())
}
