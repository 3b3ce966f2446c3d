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

// pipes is a listener whose connections are pipes, so that both ends can run in
// virtual time.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), done: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	select {
	case p.conns <- theirs:
		return ours, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// rig is one stand-in and a client, both in virtual time.
type rig struct {
	engine *standin.Engine
	client *engine.Client
	target topology.Target
}

func newRig(settings standin.Settings) *rig {
	p := newPipes()
	r := &rig{engine: standin.New(settings), client: engine.New(engine.Options{Dial: p.dial})}
	r.engine.Serve(p)
	r.target = topology.Target{ID: settings.ID, Addr: netip.MustParseAddrPort("127.0.0.1:1")}
	return r
}

func (r *rig) close() {
	r.client.Close()
	r.engine.Close()
}

// call is one request with what came of it.
type call struct {
	req    engineapi.GenerateRequest
	text   strings.Builder
	result engine.Result
	err    error
	took   time.Duration
	late   int // tokens that the sink got after the caller had gone or the time limit had passed
}

// limits is how a caller behaves.
type limits struct {
	deadline time.Duration // from the start
	leaves   time.Duration // from the start; 0: stays
	slow     time.Duration // per token
}

func (r *rig) generate(id, prompt string, tokens int, l limits) *call {
	c := &call{req: request(id, prompt, tokens)}
	start := time.Now()
	c.req.DeadlineMS = start.Add(l.deadline).UnixMilli()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if l.leaves > 0 {
		time.AfterFunc(l.leaves, cancel)
	}
	c.result, c.err = r.client.Generate(ctx, r.target, c.req, func(chunk engineapi.Chunk) error {
		if passed := time.Since(start); passed > l.deadline || l.leaves > 0 && passed > l.leaves {
			c.late++
		}
		c.text.WriteString(chunk.Token)
		time.Sleep(l.slow)
		return nil
	})
	c.took = time.Since(start)
	return c
}

// check compares the call with the oracle.
func (c *call) check(submitted int) string {
	whole := standin.Answer(c.req.Prompt, c.req.MaxTokens)
	switch {
	case c.err == nil && c.text.String() != whole:
		return fmt.Sprintf("%s: success with %d of %d bytes, %+v", c.req.ID, c.text.Len(), len(whole), c.result)
	case !strings.HasPrefix(whole, c.text.String()):
		return fmt.Sprintf("%s: the sink got what is no prefix of the answer: %q", c.req.ID, c.text.String())
	case c.text.String() != standin.Answer(c.req.Prompt, c.result.Tokens):
		return fmt.Sprintf("%s: %d tokens are reported", c.req.ID, c.result.Tokens)
	case c.err == nil != (c.result.Outcome == outcome.Done) || engine.OutcomeOf(c.err) != c.result.Outcome:
		return fmt.Sprintf("%s: outcome %v with error %v", c.req.ID, c.result.Outcome, c.err)
	case c.late > 0:
		return fmt.Sprintf("%s: %d tokens after the end", c.req.ID, c.late)
	case c.result.Outcome == outcome.NotRun && submitted > 0:
		return fmt.Sprintf("%s: said to be not run, but the engine took it: %v", c.req.ID, c.err)
	}
	return ""
}
