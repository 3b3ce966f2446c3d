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
	readyWait     = 15 * time.Second
	requestWait   = 2 * time.Minute
	bytesPerToken = 4
)

// Options say where the demonstration writes and whether it stays up.
type Options struct {
	Out         io.Writer
	Log         *zap.Logger
	KeepRunning bool
}

// Run runs the demonstration until it has ended or ctx is done.
func Run(ctx context.Context, opts Options) error {
	s, err := start(opts.Log)
	if err != nil {
		return err
	}
	defer s.close()
	d := &demo{system: s, out: opts.Out, client: &http.Client{Timeout: requestWait}}
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.out, "%d entry hosts, %d engines and the %s service are up.\n\n", len(s.hosts), len(s.engines), serviceName)
	if err := d.show(ctx); err != nil {
		return err
	}
	if opts.KeepRunning {
		d.invite()
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
	deadline := time.Now().Add(readyWait)
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

// show sends prompts of unlike lengths at the same time, and one order.
func (d *demo) show(ctx context.Context) error {
	fmt.Fprintln(d.out, "Prompts, short ones while a long one runs:")
	lengths := []int{200_000, 1_000, 2_000, 30_000, 1_000}
	results := make(chan string, len(lengths))
	for i, tokens := range lengths {
		go func() { results <- d.prompt(ctx, i, tokens) }()
		time.Sleep(50 * time.Millisecond)
	}
	for range lengths {
		fmt.Fprintln(d.out, "  "+<-results)
	}
	fmt.Fprintln(d.out, "\nA seat, which must not be reserved twice:")
	return d.order(ctx)
}

// prompt streams one prompt and describes what happened.
func (d *demo) prompt(ctx context.Context, number, tokens int) string {
	host := d.hosts[number%len(d.hosts)]
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": true, "max_tokens": 40,
		"prompt": strings.Repeat(fmt.Sprintf("p%d ", number), tokens*bytesPerToken/3),
	})
	if err != nil {
		return err.Error()
	}
	begin := time.Now()
	resp, err := d.send(ctx, http.MethodPost, "http://"+host.CallersAddr().String()+"/v1/completions", body, "")
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%7d tokens: refused: %s", tokens, refusal(resp))
	}
	first, events, whole := readStream(resp.Body, begin)
	return fmt.Sprintf("%7d tokens: first token after %5d ms, %d tokens in %5d ms, whole: %t",
		tokens, first.Milliseconds(), events, time.Since(begin).Milliseconds(), whole)
}

// readStream returns the time to the first token, the number of tokens and
// whether the end marker came.
func readStream(body io.Reader, begin time.Time) (first time.Duration, tokens int, whole bool) {
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == openai.DoneMarker {
			return first, tokens, true
		}
		if strings.Contains(data, `"finish_reason":null`) {
			tokens++
		}
		if first == 0 {
			first = time.Since(begin)
		}
	}
	return first, tokens, false
}

// order reserves a seat: without a ticket, with it, and once more through the
// other host.
func (d *demo) order(ctx context.Context) error {
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
	fmt.Fprintf(d.out, "  runs counted by the service: %d\n", d.service.Total("/reservations"))
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

func refusal(resp *http.Response) string {
	var e openai.ErrorBody
	if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
		return resp.Status
	}
	return e.Error.Kind + ": " + e.Error.Message
}

func (d *demo) invite() {
	fmt.Fprintf(d.out, `
The system stays up. Try:

  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Which glue for oak?"}]}'
  go run ./cmd/plantainrun status --operators-addr %s --operator-key %s

Ctrl-C drains it.
`, d.hosts[0].CallersAddr(), callerKey, model, d.hosts[0].OperatorsAddr(), operatorKey)
}
