package margins

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Write writes margins as a table.
func Write(w io.Writer, margins []Margin) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "BOUND\tNEAREST\tCALLERS\tVALUE\tLIMIT\tLEFT")
	for i := range margins {
		m := &margins[i]
		fmt.Fprintf(tw, "%s\t%s\t%d\t%.3f\t%s\t%s\n", m.Bound, m.Group, m.Callers, m.Value, m.limit(), m.left())
	}
	return tw.Flush()
}

func (m *Margin) limit() string {
	switch {
	case m.Limit == 0:
		return "unknown"
	case m.AtMost:
		return fmt.Sprintf("<= %.3f", m.Limit)
	}
	return fmt.Sprintf(">= %.3f", m.Limit)
}

func (m *Margin) left() string {
	if m.Limit == 0 {
		return "unknown"
	}
	return fmt.Sprintf("%+.3f", m.Left())
}
