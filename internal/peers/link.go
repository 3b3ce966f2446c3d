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
	// maxQueuedEvents is how many events may wait for a peer that does not read; then
	// the connection is opened anew and begins with all jobs in progress.
	maxQueuedEvents = 4096
)

var errQueueFull = errors.New("the peer does not read its news")

// link sends news to one address, over one connection after the other.
type link struct {
	service *Service
	addr    netip.AddrPort
	route   route
	cancel  context.CancelFunc
	wake    chan struct{}

	mu             sync.Mutex
	up             bool
	overflow       bool
	flushScheduled bool // the link will be roused
	pending        *peerspb.News
	queuedEvents   int
}

func (s *Service) openLink(ctx context.Context, addr netip.AddrPort, r route) *link {
	linkCtx, cancel := context.WithCancel(ctx)
	l := &link{service: s, addr: addr, route: r, cancel: cancel, wake: make(chan struct{}, 1), pending: &peerspb.News{}}
	go l.run(linkCtx)
	return l
}

// queue adds an event to the next message. Without a connection nothing is
// kept: the next one begins with all jobs in progress.
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

// wakeSender has the pending message sent.
func (l *link) wakeSender() {
	select {
	case l.wake <- struct{}{}:
	default: // it is awake
	}
}

// takePending returns what is to be sent.
func (l *link) takePending() (*peerspb.News, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overflow {
		return nil, errQueueFull
	}
	n := l.pending
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

func (l *link) setUp(up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.up = up
	l.overflow = false
	l.flushScheduled = false
	l.pending = &peerspb.News{}
	l.queuedEvents = 0
}

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

// connect opens a connection and sends on it until it fails.
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

// sendLoop sends queued events, and heartbeats.
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

// heartbeatDue reports whether a message is due whether or not there are events:
// the peer drops what it knows of a silent host, and wants to hear of new hosts.
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

// hello is the first message of a connection.
func (l *link) hello() *peerspb.News {
	s := l.service
	n := &peerspb.News{From: s.self, Known: s.hosts.gossip(time.Time{}, time.Now()), Jobs: l.route.jobs, PassOn: l.route.relay}
	if l.route.jobs {
		for _, job := range s.cfg.Placer.LocalJobs() {
			n.Started = append(n.Started, encodeJob(job))
		}
	}
	if l.route.domain == s.cfg.Domain {
		n.Relayed = s.relaySnapshot()
	}
	return n
}

func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // the messages are heartbeats
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0 // a write fails in time
	cfg.LogOutput = io.Discard
	return cfg
}
