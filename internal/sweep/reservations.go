package sweep

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/plantainrun/plantainrun/coord/rendezvous"
	"github.com/plantainrun/plantainrun/internal/catalog"
)

const (
	// scheduleInterval is how often engines are looked for that are to be swept.
	scheduleInterval = 250 * time.Millisecond
	// reportInterval is the longest wait between two reports of an engine.
	reportInterval = 750 * time.Millisecond
	// confirmDelay is the wait after a report by which the use of a reservation has ended. Its
	// own host releases it meanwhile, if it can.
	confirmDelay = 500 * time.Millisecond
	// callTimeout limits a report, and all orders for one reservation in a sweep.
	callTimeout = 2 * time.Second
	// releaseRetryDelay is the time between two orders that are not answered, and
	// maxReleaseTries limits them.
	releaseRetryDelay = 400 * time.Millisecond
	maxReleaseTries   = 4
	// watchTime is how long an engine is watched, and an ended reservation remembered, after it
	// was last heard of: a renewal may be carried out that much later.
	watchTime = 16 * time.Second
)

// Reservation is a reservation of engine memory as its engine reports it.
type Reservation struct {
	ID    string
	InUse bool // a request uses it
}

// ReservationClient lists and releases reservations of engine memory.
type ReservationClient interface {
	Reservations(ctx context.Context, target catalog.Target) ([]Reservation, error)
	Release(ctx context.Context, target catalog.Target, id string) error
}

// Fleet provides this host's view of the other hosts and their requests. Implementations must
// be safe for concurrent use.
type Fleet interface {
	// ReservedTargets lists the engines on which requests in progress have reserved memory.
	ReservedTargets() []catalog.Target
	// LiveHosts lists the ids of the live hosts of a failure domain, or of all hosts if it has
	// none, this host included.
	LiveHosts(domain string) []string
}

// ReservationSweeper releases reservations of engine memory whose use has ended, whichever host
// made them: that host may have been killed, or its orders may not arrive.
//
// A reservation serves one attempt. One that a report says is in use, and a later one that it is
// not, will not be used again; releasing it is safe for every host, at any time.
type ReservationSweeper struct {
	host   string
	client ReservationClient
	fleet  Fleet
	log    *zap.Logger

	mu      sync.Mutex
	watched map[catalog.TargetKey]*watchedEngine
}

// watchedEngine is what a sweeper knows of the reservations on an engine.
type watchedEngine struct {
	target   catalog.Target
	lastSeen time.Time // when a request was last known to have memory reserved there
	dueAt    time.Time // of the next sweep
	sweeping bool
	uses     map[string]*use // of reservations, by id
}

// use is the use of one reservation.
type use struct {
	lastSeen time.Time // in a report
	endedAt  time.Time // of the first report by which it has ended; zero if it has not
}

// NewReservationSweeper returns a sweeper of the host with the given id; Run starts it.
func NewReservationSweeper(host string, client ReservationClient, fleet Fleet, log *zap.Logger) *ReservationSweeper {
	return &ReservationSweeper{host: host, client: client, fleet: fleet, log: log, watched: make(map[catalog.TargetKey]*watchedEngine)}
}

// Run sweeps until ctx is done.
func (s *ReservationSweeper) Run(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentEngines)
	defer func() { _ = group.Wait() }()
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, engine := range s.due(time.Now()) {
			started := group.TryGo(func() error {
				s.finish(engine, s.sweep(ctx, engine))
				return nil
			})
			if !started {
				s.finish(engine, 0)
			}
		}
	}
}

// due returns the engines that this host is responsible for and that are to be swept now. It
// marks them as being swept.
func (s *ReservationSweeper) due(now time.Time) []*watchedEngine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.fleet.ReservedTargets() {
		s.watch(target, now)
	}
	hosts := make(map[string][]string) // by failure domain
	var due []*watchedEngine
	for key, engine := range s.watched {
		switch domain := engine.target.Domain; {
		case engine.sweeping || now.Before(engine.dueAt):
			continue
		case now.Sub(engine.lastSeen) > watchTime:
			delete(s.watched, key)
			continue
		case hosts[domain] == nil:
			hosts[domain] = s.fleet.LiveHosts(domain)
		}
		if rendezvous.Owner(engine.target.ID, hosts[engine.target.Domain]) == s.host {
			engine.sweeping = true
			due = append(due, engine)
		}
	}
	return due
}

// finish ends the sweep of an engine and sets when the next one is due.
func (s *ReservationSweeper) finish(engine *watchedEngine, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	engine.sweeping = false
	engine.dueAt = time.Now().Add(wait)
}

// watch adds an engine or moves its lastSeen forward. The caller holds mu.
func (s *ReservationSweeper) watch(target catalog.Target, now time.Time) {
	engine := s.watched[target.TargetKey]
	if engine == nil {
		engine = &watchedEngine{uses: make(map[string]*use)}
		s.watched[target.TargetKey] = engine
	}
	engine.target, engine.lastSeen = target, now
}

// sweep reads an engine's report and releases the reservations whose use had ended by the report
// before. It returns when the next sweep is due.
func (s *ReservationSweeper) sweep(ctx context.Context, engine *watchedEngine) time.Duration {
	listCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := s.client.Reservations(listCtx, engine.target)
	if err != nil {
		s.log.Info("reservations of an engine are not known", zap.String("target", engine.target.ID), zap.Error(err))
		return reportInterval
	}
	due, unfinished := engine.record(listed, time.Now())
	var releases sync.WaitGroup
	for _, id := range due {
		releases.Go(func() { s.release(ctx, engine.target, id) })
	}
	releases.Wait()
	if unfinished {
		return confirmDelay
	}
	return reportInterval - rand.N(reportInterval/4)
}

// record records a report. It returns the reservations whose use had ended by an earlier one,
// and whether there are any whose use has ended.
func (e *watchedEngine) record(listed []Reservation, now time.Time) (due []string, unfinished bool) {
	for _, r := range listed {
		u := e.uses[r.ID]
		switch {
		case u == nil && r.InUse:
			e.uses[r.ID] = &use{lastSeen: now}
			continue
		case u == nil:
			continue // a request may be about to use it
		}
		u.lastSeen = now
		switch {
		case r.InUse:
			u.endedAt = time.Time{}
			continue
		case u.endedAt.IsZero():
			u.endedAt = now
		default:
			due = append(due, r.ID)
		}
		unfinished = true
	}
	for id, u := range e.uses {
		if now.Sub(u.lastSeen) > watchTime {
			delete(e.uses, id)
		}
	}
	return due, unfinished
}

// release releases a reservation. While orders are not answered it sends further ones, and still
// waits for the earlier ones: they may be slow or get lost. If the reservation is still there
// afterwards, the next sweep does so again.
func (s *ReservationSweeper) release(ctx context.Context, target catalog.Target, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	answers := make(chan error, maxReleaseTries)
	tries, answered := 0, 0
	var err error
	next := time.NewTimer(0)
	defer next.Stop()
	for released := false; !released && answered < maxReleaseTries; {
		select {
		case <-next.C:
			go func() { answers <- s.client.Release(ctx, target, id) }()
			if tries++; tries < maxReleaseTries {
				next.Reset(releaseRetryDelay)
			}
		case err = <-answers:
			released = err == nil
			answered++
		}
	}
	s.log.Info("reservation released whose use has ended", zap.String("target", target.ID), zap.String("reservation", id), zap.Int("tries", tries), zap.Error(err))
}
