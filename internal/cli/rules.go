package cli

import (
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"github.com/plantainrun/plantainrun/internal/rules"
)

type rulesCommand struct{}

type rulesCheckCommand struct {
	Partner string `long:"partner" description:"partner that the file belongs to; the one that its first line names if left out"`
	Args    struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
	streams Streams
}

// Execute validates a file of rules and prints every error in it.
func (c *rulesCheckCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return eris.Wrap(err, "cannot read the rules file")
	}
	partner := c.Partner
	if partner == "" {
		partner = rules.PartnerOf(data)
	}
	set, lineErrors := rules.Parse(partner, data)
	if len(lineErrors) == 0 {
		fmt.Fprintf(c.streams.Out, "%s: good, %d organisations of %s\n", c.Args.File, len(set.Organisations), set.Partner)
		return nil
	}
	for _, e := range lineErrors {
		fmt.Fprintf(c.streams.Err, "%s:%d: %s; %s\n", c.Args.File, e.Line, e.Message, e.Remedy)
	}
	return eris.Errorf("%s: %d errors, hosts would reject the whole file", c.Args.File, len(lineErrors))
}
