package cli

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/plantainrun/plantainrun/internal/explain"
	"github.com/plantainrun/plantainrun/internal/leaselog"
	"github.com/plantainrun/plantainrun/internal/losses"
	"github.com/plantainrun/plantainrun/internal/margins"
	"github.com/plantainrun/plantainrun/internal/retrylog"
)

type logsCommand struct{}

type logsExplainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"REQUEST" description:"id of the request" required:"yes"`
		Files   []string `positional-arg-name:"FILE" description:"logs of the hosts" required:"1"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute prints the history of one request, merged from the logs of several hosts.
func (c *logsExplainCommand) Execute([]string) error {
	var lines []explain.Line
	for _, path := range c.Args.Files {
		fileLines, err := readLog(path)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	history := explain.RequestHistory(c.Args.Request, lines)
	if len(history) == 0 {
		return eris.Errorf("no log line mentions request %s: pass the logs of every host that may have handled it", c.Args.Request)
	}
	if err := explain.Write(c.streams.Out, history); err != nil {
		return err
	}
	return c.writeCause()
}

// writeCause prints what became of the request, and why.
func (c *logsExplainCommand) writeCause() error {
	collector := losses.NewCollector()
	collector.Only = c.Args.Request
	if err := collectFiles(collector, c.Args.Files); err != nil {
		return err
	}
	for _, r := range collector.Requests() {
		fmt.Fprintf(c.streams.Out, "%s at %s", r.Fate, r.Host)
		if r.Cause != "" {
			fmt.Fprintf(c.streams.Out, ", cause: %s", r.Cause)
		}
		fmt.Fprintln(c.streams.Out)
	}
	return nil
}

type logsLossesCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"logs of the hosts" required:"1"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute prints what became of the requests in the logs of several hosts, and why those that
// were not served in time were not.
func (c *logsLossesCommand) Execute([]string) error {
	collector := losses.NewCollector()
	if err := collectFiles(collector, c.Args.Files); err != nil {
		return err
	}
	requests := collector.Requests()
	if len(requests) == 0 {
		return eris.New("no log line mentions a request: pass the logs that hosts write to standard output")
	}
	report := losses.NewReport(requests)
	if c.JSON {
		return report.WriteJSON(c.streams.Out)
	}
	return report.WriteText(c.streams.Out)
}

type logsRetriesCommand struct {
	Ratio  float64       `long:"ratio" description:"retries allowed for each request" default:"0.2"`
	Burst  float64       `long:"burst" description:"retries allowed in a window beyond that" default:"100"`
	Window time.Duration `long:"window" description:"length of a window" default:"10s"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of all hosts" required:"1"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute prints for each service the window in which the retries of all hosts came nearest to
// what is allowed.
func (c *logsRetriesCommand) Execute([]string) error {
	collector := retrylog.NewCollector()
	if err := collectFiles(collector, c.Args.Files); err != nil {
		return err
	}
	reports := collector.Reports(retrylog.Limits{Ratio: c.Ratio, Burst: c.Burst, Window: c.Window})
	if len(reports) == 0 {
		return eris.New("no log line tells of an attempt: pass the logs that hosts write to standard output")
	}
	return retrylog.Write(c.streams.Out, reports)
}

type logsMarginsCommand struct {
	LatePayoff  float64            `long:"late-payoff" description:"payoff of a late answer, as a fraction of that of a timely one" default:"0.25"`
	Payoffs     map[string]float64 `long:"payoff" description:"payoff of a request of mean size, as ROUTE:PAYOFF; 1 for routes that are not named"`
	Floor       float64            `long:"floor" description:"smallest fraction of the payoff of all that is to be earned"`
	RouteFloor  float64            `long:"route-floor" description:"the same for each route"`
	DomainFloor float64            `long:"domain-floor" description:"the same for each failure domain"`
	Args        struct {
		Files []string `positional-arg-name:"FILE" description:"logs of all hosts" required:"1"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute prints how near callers came to being served less than the bounds allow.
func (c *logsMarginsCommand) Execute([]string) error {
	collector := losses.NewCollector()
	if err := collectFiles(collector, c.Args.Files); err != nil {
		return err
	}
	callers := margins.Callers(collector.Requests())
	if len(callers) == 0 {
		return eris.New("no log line tells what became of a request: pass the logs that hosts write to standard output")
	}
	terms := margins.Terms{LatePayoff: c.LatePayoff, Payoffs: c.Payoffs, Floor: c.Floor, RouteFloor: c.RouteFloor, DomainFloor: c.DomainFloor}
	return margins.Write(c.streams.Out, margins.Margins(callers, terms))
}

type logsReservationsCommand struct {
	Bound time.Duration `long:"bound" description:"how long memory may stay reserved after the end of its use" default:"4s"`
	Most  int           `long:"most" description:"how many reservations to list" default:"5"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" description:"logs of all hosts" required:"1"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute prints how long reserved memory stayed reserved after the end of its use, and the
// reservations that came nearest to the bound.
func (c *logsReservationsCommand) Execute([]string) error {
	collector := leaselog.NewCollector()
	if err := collectFiles(collector, c.Args.Files); err != nil {
		return err
	}
	return collector.Report(c.Most).Write(c.streams.Out, c.Bound)
}

// logReader collects from the log of a host.
type logReader interface {
	Read(r io.Reader, source string) error
}

func collectFiles(collector logReader, paths []string) error {
	for _, path := range paths {
		if err := collectFile(collector, path); err != nil {
			return err
		}
	}
	return nil
}

func collectFile(collector logReader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return eris.Wrap(err, "cannot open the log")
	}
	defer file.Close()
	return eris.Wrapf(collector.Read(file, path), "log %s", path)
}

func readLog(path string) ([]explain.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "cannot open the log")
	}
	defer file.Close()
	lines, err := explain.Read(file, path)
	return lines, eris.Wrapf(err, "log %s", path)
}
