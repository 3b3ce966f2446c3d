package audit

import (
	"fmt"
	"strings"
	"time"
)

// String formats the entry as a summary line followed by an indented line for each
// change and each reason.
func (e Entry) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d %s %s %s", e.Sequence, e.Time.UTC().Format(time.RFC3339), e.Verdict, e.Subject)
	if e.FromRevision != e.ToRevision {
		fmt.Fprintf(&b, " revision %d to %d", e.FromRevision, e.ToRevision)
	}
	fmt.Fprintf(&b, " from %s: %s", e.Source, e.Summary)
	if len(e.RequestedBy) > 0 {
		fmt.Fprintf(&b, " (asked by %s)", strings.Join(e.RequestedBy, ", "))
	}
	for _, c := range e.Changes {
		fmt.Fprintf(&b, "\n    %s line %d: %s (%s: %s)", diffSign(c), c.Line, c.Rule, c.RequestedBy, c.Rationale)
	}
	for _, r := range e.Reasons {
		fmt.Fprintf(&b, "\n    line %d: %s; %s", r.Line, r.Message, r.Remedy)
	}
	return b.String()
}

func diffSign(c Change) string {
	if c.Removed {
		return "-"
	}
	return "+"
}
