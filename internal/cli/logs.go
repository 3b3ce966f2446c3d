package cli

import (
	"os"

	"github.com/rotisserie/eris"

	"github.com/plantainrun/plantainrun/internal/explain"
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
	return explain.Write(c.streams.Out, history)
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
