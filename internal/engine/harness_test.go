package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/outcome"
	"github.com/plantainrun/plantainrun/internal/engine"
	"github.com/plantainrun/plantainrun/internal/engineapi"
	standin "github.com/plantainrun/plantainrun/internal/standin/engine"
	"github.com/plantainrun/plantainrun/internal/topology"
)

// pipeListener is a listener whose connections are in-memory pipes, so that both ends
// can run in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case p.conns <- serverConn:
		return clientConn, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// harness is a stand-in engine and a client, both in virtual time.
type harness struct {
	engine *standin.Engine
	client *engine.Client
	target topology.Target
}

func newHarness(settings standin.Settings) *harness {
	p := newPipeListener()
	r := &harness{engine: standin.New(settings), client: engine.New(engine.Options{Dial: p.dial})}
	r.engine.Serve(p)
	r.target = topology.Target{ID: settings.ID, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	return r
}

func (r *harness) close() {
	r.client.Close()
	r.engine.Close()
}

// call is one request and its result.
type call struct {
	req            engineapi.GenerateRequest
	text           strings.Builder
	result         engine.Result
	err            error
	elapsed        time.Duration
	tokensAfterEnd int // tokens delivered after the caller cancelled or the time limit passed
}

// callerBehavior describes how a caller behaves during a request.
type callerBehavior struct {
	timeLimit       time.Duration // measured from the start
	disconnectAfter time.Duration // measured from the start; 0: the caller does not cancel
	sinkDelay       time.Duration // time that the sink takes per token
}

func (r *harness) generate(id, prompt string, tokens int, caller callerBehavior) *call {
	c := &call{req: request(id, prompt, tokens)}
	start := time.Now()
	c.req.DeadlineMS = start.Add(caller.timeLimit).UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if caller.disconnectAfter > 0 {
		time.AfterFunc(caller.disconnectAfter, cancel)
	}
	c.result, c.err = r.client.Generate(ctx, r.target, c.req, func(chunk engineapi.Chunk) error {
		if elapsed := time.Since(start); elapsed > caller.timeLimit || caller.disconnectAfter > 0 && elapsed > caller.disconnectAfter {
			c.tokensAfterEnd++
		}
		c.text.WriteString(chunk.Token)
		time.Sleep(caller.sinkDelay)
		return nil
	})
	c.elapsed = time.Since(start)
	return c
}

// verify compares the call with the expected response and returns a description of the
// first violation, or an empty string.
func (c *call) verify(submitted int) string {
	want := standin.ResponseText(c.req.Prompt, c.req.MaxTokens)
	switch {
	case c.err == nil && c.text.String() != want:
		return fmt.Sprintf("%s: success with %d of %d bytes, %+v", c.req.ID, c.text.Len(), len(want), c.result)
	case !strings.HasPrefix(want, c.text.String()):
		return fmt.Sprintf("%s: delivered text is not a prefix of the expected response: %q", c.req.ID, c.text.String())
	case c.text.String() != standin.ResponseText(c.req.Prompt, c.result.Tokens):
		return fmt.Sprintf("%s: result reports %d tokens, which differs from the delivered text", c.req.ID, c.result.Tokens)
	case c.err == nil != (c.result.Outcome == outcome.Done) || engine.OutcomeOf(c.err) != c.result.Outcome:
		return fmt.Sprintf("%s: outcome %v with error %v", c.req.ID, c.result.Outcome, c.err)
	case c.tokensAfterEnd > 0:
		return fmt.Sprintf("%s: %d tokens delivered after the attempt ended", c.req.ID, c.tokensAfterEnd)
	case c.result.Outcome == outcome.NotRun && submitted > 0:
		return fmt.Sprintf("%s: outcome is not run, but the engine accepted the prompt: %v", c.req.ID, c.err)
	}
	return ""
}
