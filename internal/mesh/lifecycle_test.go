package mesh

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// A graceful shutdown refuses new streams and lets those in progress finish.
func TestShutdownFinishesStreamsInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startListedPair(t, nil)
	finish := make(chan struct{})
	b.Handle("long", func(_ context.Context, s *Stream) error {
		<-finish
		return s.Send(wrapperspb.String("whole"))
	})
	st, err := a.Open(t.Context(), "b", "long")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer st.Close()
	done := make(chan error, 1)
	go func() { done <- b.Shutdown(t.Context()) }()
	g.Eventually(func() error {
		extra, err := a.Open(t.Context(), "b", echoMethod)
		if err == nil {
			_ = extra.Close()
		}
		return err
	}, eventuallyTimeout).Should(gomega.MatchError(ErrClosing))
	close(finish)
	var reply wrapperspb.StringValue
	g.Expect(st.Recv(&reply)).To(gomega.Succeed())
	g.Expect(reply.GetValue()).To(gomega.Equal("whole"))
	_ = st.Close()
	g.Expect(<-done).To(gomega.Succeed())
}

// A shutdown whose context ends closes the open streams and returns the context's error.
func TestShutdownEndsWithItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startListedPair(t, nil)
	b.Handle("endless", func(ctx context.Context, _ *Stream) error {
		<-ctx.Done()
		return ctx.Err()
	})
	st, err := a.Open(t.Context(), "b", "endless")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer st.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(b.Shutdown(ctx)).To(gomega.MatchError(context.Canceled))
	err = st.Recv(new(wrapperspb.StringValue))
	g.Expect(err).To(gomega.MatchError(ErrAborted))
}

// The context of CancelOnPeerClose is cancelled when the caller closes the stream, even while the
// handler is blocked in Send.
func TestCancelOnPeerCloseWhileSendIsBlocked(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startListedPair(t, nil)
	ended := make(chan error, 1)
	b.Handle("long", func(ctx context.Context, s *Stream) error {
		ctx, cancel := s.CancelOnPeerClose(ctx)
		defer cancel()
		for ctx.Err() == nil { // fills the receive window, then blocks
			if err := s.Send(wrapperspb.Bytes(make([]byte, 1<<16))); err != nil {
				break
			}
		}
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	})
	st, err := a.Open(t.Context(), "b", "long")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(st.Recv(new(wrapperspb.BytesValue))).To(gomega.Succeed())
	_ = st.Close()
	g.Eventually(ended, eventuallyTimeout).Should(gomega.Receive(gomega.MatchError(context.Canceled)))
}

// Concurrent opens to a host that is not connected share one connection, which is closed
// when idle because the host is not a link.
func TestConnectionOnDemand(t *testing.T) {
	g := gomega.NewWithT(t)
	configure := func(c *Config) { c.IdleTimeout = 100 * time.Millisecond }
	a, b := startPair(t, configure)
	setHostLists(a, b)
	a.mu.Lock()
	a.linkSlots = nil // b is on the host list but not a link of a
	a.mu.Unlock()
	b.SetHosts(hostList(a)) // without b itself on the list, b has no links and does not dial a
	for _, p := range append(a.allPeers(), b.allPeers()...) {
		for _, s := range p.allSessions() {
			s.close()
		}
	}
	b.SetHosts(hostList(a, b))
	b.mu.Lock()
	b.linkSlots = nil
	b.mu.Unlock()
	before := a.Stats().Dials
	var wg sync.WaitGroup
	errs := make(chan error, 20)
	for range cap(errs) {
		wg.Go(func() {
			st, err := a.Open(t.Context(), "b", echoMethod)
			if err == nil {
				err = st.Close()
			}
			errs <- err
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(a.Stats().Dials - before).To(gomega.BeNumerically("<=", 1))
	g.Eventually(func() int { return a.Stats().Sessions }, eventuallyTimeout).Should(gomega.BeZero(), func() string { return fmt.Sprint(a.Peers()) })
}
