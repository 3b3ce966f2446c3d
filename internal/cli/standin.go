package cli

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainrun/plantainrun/internal/engineapi"
	"github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/standin/enginemodel"
	"github.com/plantainrun/plantainrun/internal/standin/platform"
	"github.com/plantainrun/plantainrun/internal/standin/service"
)

const standinReadHeaderTimeout = 10 * time.Second

type standinCommand struct {
	Args struct {
		Kind string `positional-arg-name:"KIND" description:"platform, engine or service" required:"yes"`
	} `positional-args:"yes"`
	Addr           string        `long:"addr" default:"127.0.0.1:0" description:"IP:port to listen on"`
	ID             string        `long:"id" default:"engine-1" description:"target id of an engine"`
	Model          string        `long:"model" default:"assistant" description:"model that an engine serves"`
	MemoryTokens   int           `long:"memory-tokens" default:"400000" description:"memory of an engine, in tokens"`
	PrefillRate    float64       `long:"prefill-rate" default:"50000" description:"prefill of an engine, in tokens a second"`
	DecodeInterval time.Duration `long:"decode-interval" default:"20ms" description:"time between two tokens of an engine"`
	ReportLag      time.Duration `long:"report-lag" default:"200ms" description:"age of an engine's load report"`
	AnswerTokens   int           `long:"answer-tokens" default:"0" description:"length of an engine's answers; 0: the request's limit"`
	ChecksFencing  bool          `long:"checks-fencing" description:"the engine refuses orders with an old fencing number"`
	LoadTime       time.Duration `long:"load-time" default:"500ms" description:"time that an engine takes to load another model, version or adapters"`
	KeepExpired    bool          `long:"keep-expired" description:"the engine never drops a stream at its deadline"`
	streams        Streams
}

// Execute runs one stand-in until SIGTERM or SIGINT. It prints its address.
func (c *standinCommand) Execute([]string) error {
	switch c.Args.Kind {
	case "platform":
		return c.serve(platform.New().Handler())
	case "service":
		return c.serve(service.New())
	case "engine":
		return c.engine()
	default:
		return &usageError{eris.Errorf("unknown stand-in %q: want platform, engine or service", c.Args.Kind)}
	}
}

func (c *standinCommand) serve(h http.Handler) error {
	l, err := net.Listen("tcp", c.Addr)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: standinReadHeaderTimeout}
	c.printAddr(l.Addr())
	go func() {
		waitForSignal()
		_ = srv.Close()
	}()
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (c *standinCommand) engine() error {
	e := engine.New(engine.Settings{
		ID: c.ID, Addr: c.Addr, OutputTokens: c.AnswerTokens, ChecksFencing: c.ChecksFencing, LoadTime: c.LoadTime, Seed: rand.Uint64(),
		State: engineapi.State{Model: c.Model, Version: "1", Serving: true},
		Model: enginemodel.Config{
			MemoryTokens: c.MemoryTokens, PrefillRate: c.PrefillRate, DecodeInterval: c.DecodeInterval, ReportLag: c.ReportLag,
			KeepExpired: c.KeepExpired,
		},
	})
	if err := e.Start(); err != nil {
		return err
	}
	defer e.Close()
	c.printAddr(e.Addr())
	waitForSignal()
	return nil
}

// printAddr prints the address that the stand-in listens on. Tests parse this line.
func (c *standinCommand) printAddr(addr net.Addr) {
	fmt.Fprintf(c.streams.Out, "listening on %s\n", addr)
}

func waitForSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
}
