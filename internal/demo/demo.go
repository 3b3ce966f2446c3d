package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/caller"
	"github.com/plantainrun/plantainrun/internal/openai"
)

const (
	readyTimeout   = 15 * time.Second
	requestTimeout = 2 * time.Minute
	bytesPerToken  = 4
)

// Options configure the output of the demonstration and whether it keeps running
// after its requests.
type Options struct {
	Out         io.Writer
	Log         *zap.Logger
	KeepRunning bool
}

// Run starts the deployment, sends the requests and, with KeepRunning, waits
// until ctx is done.
func Run(ctx context.Context, opts Options) error {
	s, err := startSystem(opts.Log)
	if err != nil {
		return err
	}
	defer s.close()
	d := &demo{system: s, out: opts.Out, client: &http.Client{Timeout: requestTimeout}}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d entry hosts, %d engines and the %s service are up.\n\n", len(s.hosts), len(s.engines), serviceName)
	if err := d.sendRequests(ctx); err != nil {
		return err
	}
	if opts.KeepRunning {
		d.printInstructions()
		<-ctx.Done()
	}
	return nil
}

type demo struct {
	*system
	out    io.Writer
	client *http.Client
}

func (d *demo) waitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, h := range d.hosts {
		for h.Ready() != nil {
			if time.Now().After(deadline) {
				return eris.Wrapf(h.Ready(), "host %s is not ready", h.CallersAddr())
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// sendRequests sends prompts of different lengths concurrently, then a
// reservation.
func (d *demo) sendRequests(ctx context.Context) error {
	fmt.Fprintln(d.out, "Prompts, short ones while a long one runs:")
	lengths := []int{200_000, 1_000, 2_000, 30_000, 1_000}
	results := make(chan string, len(lengths))
	for i, tokens := range lengths {
		go func() { results <- d.streamPrompt(ctx, i, tokens) }()
		time.Sleep(50 * time.Millisecond)
	}
	for range lengths {
		fmt.Fprintln(d.out, "  "+<-results)
	}
	fmt.Fprintln(d.out, "\nA seat, which must not be reserved twice:")
	return d.reserveSeat(ctx)
}

// streamPrompt sends a prompt, reads the stream and returns a line that describes
// the result.
func (d *demo) streamPrompt(ctx context.Context, index, tokens int) string {
	host := d.hosts[index%len(d.hosts)]
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": 40,
		"prompt": strings.Repeat(fmt.Sprintf("p%d ", index), tokens*bytesPerToken/3),
	})
	if err != nil {
		return err.Error()
	}
	start := time.Now()
	resp, err := d.send(ctx, http.MethodPost, "http://"+host.CallersAddr().String()+"/v1/completions", body, "")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%7d tokens: refused: %s", tokens, errorText(resp))
	}
	timeToFirstToken, received, complete := readStream(resp.Body, start)
	return fmt.Sprintf("%7d tokens: first token after %5d ms, %d tokens in %5d ms, whole: %t",
		tokens, timeToFirstToken.Milliseconds(), received, time.Since(start).Milliseconds(), complete)
}

// readStream returns the time to the first token, the number of tokens and
// whether the stream ended with the done marker.
func readStream(body io.Reader, start time.Time) (timeToFirstToken time.Duration, tokens int, complete bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == openai.DoneMarker {
			return timeToFirstToken, tokens, true
		}
		if strings.Contains(data, `"finish_reason":null`) {
			tokens++
		}
		if timeToFirstToken == 0 {
			timeToFirstToken = time.Since(start)
		}
	}
	return timeToFirstToken, tokens, false
}

// reserveSeat sends the same reservation three times: without a ticket, with the
// ticket that the first response carries, and with it through the other host.
// The service must run it once.
func (d *demo) reserveSeat(ctx context.Context) error {
	ticket := ""
	for i, host := range []int{0, 0, 1} {
		url := "http://" + d.hosts[host].CallersAddr().String() + "/v1/services/" + serviceName + "/reservations"
		resp, err := d.send(ctx, http.MethodPost, url, []byte(`{"course":"esthetics","seat":12}`), ticket)
		if err != nil {
			return err
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return err
		}
		if i == 0 {
			ticket = resp.Header.Get(caller.HeaderTicket)
		}
		fmt.Fprintf(d.out, "  host %d answers %d: %s\n", host+1, resp.StatusCode, bytes.TrimSpace(body))
	}
	fmt.Fprintf(d.out, "  runs counted by the service: %d\n", d.service.PathRuns("/reservations"))
	return nil
}

func (d *demo) send(ctx context.Context, method, url string, body []byte, ticket string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Content-Type", "application/json")
	if ticket != "" {
		req.Header.Set(caller.HeaderTicket, ticket)
	}
	return d.client.Do(req)
}

func errorText(resp *http.Response) string {
	var e openai.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return resp.Status
	}
	return e.Error.Kind + ": " + e.Error.Message
}

func (d *demo) printInstructions() {
	fmt.Fprintf(d.out, `
The system stays up. Try:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Which glue for oak?"}]}'
  go run ./cmd/plantainrun status --operators-addr %s --operator-key %s

Ctrl-C drains it.
`, d.hosts[0].CallersAddr(), callerKey, model, d.hosts[0].OperatorsAddr(), operatorKey)
}
