package peers

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"

	"github.com/plantainrun/plantainrun/internal/netdial"
	"github.com/plantainrun/plantainrun/internal/peers/peerspb"
)

const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 1500 * time.Millisecond
	// maxQueuedEvents is how many events may wait for a peer that does not read.
	// Beyond it the connection is reopened and starts with all jobs in progress.
	maxQueuedEvents = 4096
)

var errQueueFull = errors.New("the send queue is full: the peer does not read its messages")

// link sends updates to one address and reconnects when the connection fails.
type link struct {
	service *Service
	addr    netip.AddrPort
	route   route
	cancel  context.CancelFunc
	wake    chan struct{}

	mu             sync.Mutex
	up             bool
	overflow       bool
	flushScheduled bool // a timer will wake the sender
	pending        *peerspb.News
	pendingSince   time.Time // when its oldest event was queued
	queuedEvents   int
}

// openLink starts a link that runs until it is cancelled or ctx ends.
func (s *Service) openLink(ctx context.Context, addr netip.AddrPort, r route) *link {
	linkCtx, cancel := context.WithCancel(ctx)
	l := &link{service: s, addr: addr, route: r, cancel: cancel, wake: make(chan struct{}, 1), pending: &peerspb.News{}}
	go l.run(linkCtx)
	return l
}

// queue adds an event to the next message, which is sent at once if it is urgent
// and after relayBatchDelay otherwise. Without a connection the event is dropped,
// since the next connection starts with all jobs in progress.
func (l *link) queue(urgent bool, add func(*peerspb.News)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.up {
		return
	}
	if l.queuedEvents >= maxQueuedEvents {
		l.overflow = true
		return
	}
	if l.queuedEvents == 0 {
		l.pendingSince = time.Now()
	}
	add(l.pending)
	l.queuedEvents++
	switch {
	case urgent:
		l.wakeSender()
	case !l.flushScheduled:
		l.flushScheduled = true
		time.AfterFunc(relayBatchDelay, l.wakeSender)
	}
}

// wakeSender makes sendLoop send the pending message.
func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// takePending returns the pending message and starts a new one, or returns
// errQueueFull if events were dropped.
func (l *link) takePending() (*peerspb.News, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overflow {
		return nil, errQueueFull
	}
	n := l.pending
	since := time.Now()
	if l.queuedEvents > 0 {
		since = l.pendingSince
	}
	n.UptimeMs = l.service.uptimeMillis(since)
	l.pending = &peerspb.News{}
	l.queuedEvents = 0
	l.flushScheduled = false
	return n, nil
}

func (l *link) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// setUp sets the state of the connection and discards pending events.
func (l *link) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = up
	l.overflow = false
	l.flushScheduled = false
	l.pending = &peerspb.News{}
	l.queuedEvents = 0
}

// run reconnects with exponential backoff until ctx ends. The backoff starts over
// after a connection that lasted longer than maxBackoff.
func (l *link) run(ctx context.Context) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := l.connect(ctx)
		l.setUp(false)
		if ctx.Err() == nil {
			l.service.hosts.setReachable(l.addr, false, time.Now())
		}
		if time.Since(start) > maxBackoff {
			backoff = firstBackoff
			l.service.cfg.Log.Info("link to peer lost", zap.Stringer("addr", l.addr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect opens a connection and sends messages until it fails.
func (l *link) connect(ctx context.Context) error {
	conn, err := netdial.New(dialTimeout).DialContext(ctx, "tcp", l.addr.String())
	if err != nil {
		return err
	}
	defer conn.Close()
	session, err := yamux.Client(&frameConn{Conn: conn}, sessionConfig())
	if err != nil {
		return err
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	l.setUp(true)
	if err := l.send(stream, l.hello()); err != nil {
		return err
	}
	l.service.hosts.setReachable(l.addr, true, time.Now())
	l.service.cfg.Log.Info("link to peer up", zap.Stringer("addr", l.addr))
	return l.sendLoop(ctx, stream)
}

// sendLoop sends queued events and heartbeats.
func (l *link) sendLoop(ctx context.Context, stream net.Conn) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	lastSent := time.Now()
	lastGossip := lastSent
	for {
		heartbeat := false
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.wake:
			time.Sleep(coalesceDelay)
		case now := <-ticker.C:
			if heartbeat = l.heartbeatDue(now, lastSent, lastGossip); !heartbeat {
				continue
			}
		}
		msg, err := l.takePending()
		if err != nil {
			return err
		}
		now := time.Now()
		if heartbeat {
			msg.Known = l.service.hosts.gossip(lastGossip, now)
			lastGossip = now
		}
		if err := l.send(stream, msg); err != nil {
			return err
		}
		lastSent = now
	}
}

// heartbeatDue reports whether a message is due even without events: the peer drops
// the jobs of a silent host, and it needs to learn of new hosts.
func (l *link) heartbeatDue(now, lastSent, lastGossip time.Time) bool {
	interval := quietHeartbeatInterval
	if l.route.carriesJobs() {
		interval = heartbeatInterval
	}
	return now.Sub(lastSent) > interval-heartbeatInterval/2 ||
		now.Sub(lastGossip) >= quietHeartbeatInterval ||
		l.service.hosts.hasNewHosts(lastGossip)
}

func (l *link) send(stream net.Conn, msg *peerspb.News) error {
	if err := stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := protodelim.MarshalTo(stream, msg)
	return err
}

// hello returns the first message of a connection, with all known hosts and, if the
// link carries jobs, all jobs in progress, prompts it has refused, known rate limits and what is in quarantine.
// Within the failure domain it also holds the jobs that this host relays.
func (l *link) hello() *peerspb.News {
	s := l.service
	n := &peerspb.News{From: s.self, Known: s.hosts.gossip(time.Time{}, time.Now()), Jobs: l.route.jobs, PassOn: l.route.relay}
	if l.route.jobs {
		for _, job := range s.cfg.Placer.LocalJobs() {
			n.Started = append(n.Started, encodeJob(job))
		}
		for _, limit := range s.cfg.Placer.RateLimits() {
			n.RateLimits = append(n.RateLimits, encodeRateLimit(limit))
		}
		for _, p := range s.cfg.Placer.RefusedPrompts("") {
			n.RefusedPrompts = append(n.RefusedPrompts, encodeRefusedPrompt(p))
		}
		for _, c := range s.quarantine.RecentCrashes() {
			n.Crashes = append(n.Crashes, encodeCrash(c))
		}
		for _, e := range s.quarantine.QuarantinedParts() {
			n.QuarantinedParts = append(n.QuarantinedParts, encodeQuarantinedPart(e))
		}
	}
	if l.route.domain == s.cfg.Domain {
		n.Relayed = s.relaySnapshot()
	}
	return n
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // messages serve as heartbeats
	cfg.AcceptBacklog = 1       // a connection has one stream
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0 // the write timeout is enough
	cfg.LogOutput = io.Discard
	return cfg
}
