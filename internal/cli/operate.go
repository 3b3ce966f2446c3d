package cli

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/plantainrun/plantainrun/internal/audit"
	"github.com/plantainrun/plantainrun/internal/operator"
	"github.com/plantainrun/plantainrun/internal/status"
)

type statusCommand struct {
	clientOptions
	streams Streams
}

// Execute prints the status report of a host.
func (c *statusCommand) Execute([]string) error {
	var st status.Status
	raw, err := c.call(http.MethodGet, operator.PathStatus, "", &st)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = c.streams.Out.Write(raw)
		return err
	}
	printStatus(c.streams.Out, st)
	return nil
}

func printStatus(out io.Writer, st status.Status) {
	state := "ready"
	if !st.Ready {
		state = "NOT READY: " + st.NotReadyReason
	}
	if st.DegradedReason != "" {
		state += ", but " + st.DegradedReason
	}
	if st.Draining {
		state += ", draining"
	}
	fmt.Fprintf(out, "host %s (%s, %s), version %s, up %s: %s\n", st.Incarnation, st.Partner, st.FailureDomain, st.Version, formatSeconds(st.UptimeSeconds), state)
	fmt.Fprintf(out, "queued %d, tickets %d of %d (%d bytes), closed ledgers %d, platform reader: %t\n",
		st.Queued, st.Tickets.Held, st.Tickets.Capacity, st.Tickets.Bytes, st.Tickets.ClosedLedgers, st.PlatformReader)
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "\nVALUE\tREVISION\tCONFIRMED\tPROBLEM")
	for _, v := range st.Values {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%s\n", v.Key, v.Revision, formatAge(v.AgeSeconds), v.Problem)
	}
	fmt.Fprintln(tw, "\nTARGET\tMODEL\tSTATE\tRUNNING\tWAIT\tMEMORY RESERVED")
	for _, t := range st.Targets {
		fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%d of %d\n", t.ID, t.Model, t.State, t.Running, formatSeconds(t.PredictedWaitSeconds), t.MemoryReservedTokens, t.MemoryTotalTokens)
	}
	fmt.Fprintln(tw, "\nPEER\tINCARNATION\tSTATE")
	for _, p := range st.Peers {
		fmt.Fprintf(tw, "%s\t%s\t%s\n", p.Host, p.Incarnation, p.State)
	}
	fmt.Fprintln(tw, "\nQUARANTINED\tFOR")
	for _, q := range st.Quarantined {
		fmt.Fprintf(tw, "%s\t%s\n", q.Fingerprint, formatSeconds(q.RemainingSeconds))
	}
	fmt.Fprintln(tw, "\nREFUSALS\tCOUNT")
	for _, r := range st.Refusals {
		fmt.Fprintf(tw, "%s\t%d\n", r.Kind, r.Count)
	}
	_ = tw.Flush()
}

func formatAge(s float64) string {
	if s < 0 {
		return "never"
	}
	return formatSeconds(s) + " ago"
}

func formatSeconds(s float64) string {
	return (time.Duration(s*1000) * time.Millisecond).String()
}

type auditCommand struct {
	clientOptions
	Subject string `long:"subject" description:"show only entries about this subject, such as rules/kushiro"`
	Limit   int    `long:"limit" default:"100" description:"most entries to show, the newest ones"`
	streams Streams
}

// Execute prints the audit trail of a host.
func (c *auditCommand) Execute([]string) error {
	query := url.Values{"limit": {strconv.Itoa(c.Limit)}}
	if c.Subject != "" {
		query.Set("subject", c.Subject)
	}
	var entries []audit.Entry
	raw, err := c.call(http.MethodGet, operator.PathAudit+"?"+query.Encode(), "", &entries)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = c.streams.Out.Write(raw)
		return err
	}
	for _, e := range entries {
		fmt.Fprintln(c.streams.Out, e.String())
	}
	return nil
}

type drainCommand struct {
	clientOptions
	Who     string `long:"who" description:"name for the audit trail; the user's name if left out"`
	streams Streams
}

// Execute starts a graceful shutdown of a host and returns without waiting for its
// end.
func (c *drainCommand) Execute([]string) error {
	operatorName := c.Who
	if operatorName == "" {
		operatorName = defaultOperatorName()
	}
	var resp operator.DrainResponse
	raw, err := c.call(http.MethodPost, operator.PathDrain, operatorName, &resp)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = c.streams.Out.Write(raw)
		return err
	}
	fmt.Fprintln(c.streams.Out, resp.Message)
	return nil
}
