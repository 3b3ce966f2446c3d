package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/relay"
)

// cuttingTransport is a transport of which one target breaks its answers off once they are too
// large to be buffered.
type cuttingTransport struct {
	*fakeTransport
	faulty string
}

func (tr *cuttingTransport) Send(ctx context.Context, call relay.Call) (*relay.Response, error) {
	resp, err := tr.fakeTransport.Send(ctx, call)
	if err == nil && call.Target.ID == tr.faulty {
		const sent = 2 << 20 // bytes
		resp.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, sent)), failingReader{}))
	}
	return resp, err
}

// Guards against a target that breaks its large answers off and counts as a good one, so that it
// is never avoided.
func TestTargetThatCutsLargeAnswersIsAvoided(t *testing.T) {
	inVirtualTime(t, func(g *WithT, ctx context.Context) {
		const (
			tries      = 60
			maxAborted = 6 // a fifth would be aborted at a target that is not avoided
		)
		w := newHarnessWithTransport(&cuttingTransport{fakeTransport: &fakeTransport{behaviourOf: always(success)}, faulty: "orders-0"})
		aborted := 0
		for i := range tries {
			if w.serve(ctx, relay.Request{URI: "/order/1", Body: []byte(fmt.Sprint(i))}).aborted {
				aborted++
			}
		}
		g.Expect(aborted).To(BeNumerically("<=", maxAborted), "of %d", tries)
		g.Expect(aborted).To(BeNumerically(">", 0))
	})
}
