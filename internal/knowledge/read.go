package knowledge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/confservice"
)

// Bounds of the backoff after a failed call to the configuration service.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 3 * time.Second
)

// runWatches watches all keys whenever this host is a reader, until ctx ends.
func (r *Replica) runWatches(ctx context.Context) {
	for ctx.Err() == nil {
		if r.isReader() {
			r.watchWhileReader(ctx)
		} else {
			r.awaitReaderChange(ctx)
		}
	}
}

// watchWhileReader watches every key until this host is no longer a reader.
func (r *Replica) watchWhileReader(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, key := range r.store.Keys() {
		wg.Go(func() { r.watch(ctx, key) })
	}
	for ctx.Err() == nil && r.isReader() {
		r.awaitReaderChange(ctx)
	}
}

// awaitReaderChange returns when the set of readers may have changed, at the latest after
// readerCheckInterval.
func (r *Replica) awaitReaderChange(ctx context.Context) {
	timer := time.NewTimer(readerCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.readersChanged:
	case <-timer.C:
	}
}

// watch watches one key until ctx ends. Each key has its own watch because a lagging key can
// become visible after later revisions of other keys, which a shared watch would skip.
func (r *Replica) watch(ctx context.Context, key string) {
	backoff := confservice.Backoff{Initial: firstBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		q := confservice.WatchRequest{After: r.store.HighestSeen(key), Keys: []string{key}, Wait: r.cfg.WatchTimeout}
		requestedAt := time.Now()
		changes, err := r.cfg.Source.Watch(ctx, q)
		if err == nil && len(changes) > 0 {
			err = r.read(ctx, key)
		} else if err == nil {
			r.markConfirmed(key, requestedAt)
		}
		if err != nil {
			sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		if len(changes) > 0 {
			sleep(ctx, r.cfg.BatchInterval)
		}
	}
}

// read reads one key from the service and offers the value to the store. A key without a
// value is not an error.
func (r *Replica) read(ctx context.Context, key string) error {
	requestedAt := time.Now()
	v, err := r.cfg.Source.Read(ctx, key)
	var notFound *confservice.NotFoundError
	var stale *confservice.StaleRevisionError
	switch {
	case errors.As(err, &notFound):
		r.markServiceResponded()
		return nil
	case errors.As(err, &stale):
		r.counters.staleServiceResponses.Add(1)
		return err
	case err != nil:
		return err
	}
	r.markServiceResponded()
	seen := r.store.HighestSeen(key)
	result := r.offer(dissemination.NewValue(key, v.Revision, v.Body), sourcePlatform)
	if result.Outcome == dissemination.Older {
		r.counters.staleServiceResponses.Add(1)
		return &confservice.StaleRevisionError{Key: key, Revision: v.Revision, Seen: seen}
	}
	r.markConfirmed(key, requestedAt)
	return nil
}

// runPolls polls the configuration service periodically while this host is not a reader.
func (r *Replica) runPolls(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, r.jitter(r.cfg.PollInterval))
		if !r.isReader() {
			_ = r.poll(ctx) // retried after the interval
		}
	}
}

// poll asks the service once, without waiting, which keys have changed and reads those.
func (r *Replica) poll(ctx context.Context) error {
	keys := r.store.Keys()
	q := confservice.WatchRequest{After: r.store.HighestSeen(keys[0]), Keys: keys}
	for _, key := range keys {
		q.After = min(q.After, r.store.HighestSeen(key))
	}
	requestedAt := time.Now()
	changes, err := r.cfg.Source.Watch(ctx, q)
	if err != nil {
		return err
	}
	r.markServiceResponded()
	latest := make(map[string]uint64, len(changes))
	for _, c := range changes {
		latest[c.Key] = c.Revision
	}
	for _, key := range keys {
		seen := r.store.HighestSeen(key)
		switch revision := latest[key]; {
		case revision > seen:
			err = errors.Join(err, r.read(ctx, key))
		case revision == seen:
			r.markConfirmed(key, requestedAt)
		case seen > q.After:
			r.counters.staleServiceResponses.Add(1)
		}
	}
	return err
}

// jitter returns a random duration from half of mean to one and a half of it.
func (r *Replica) jitter(mean time.Duration) time.Duration { return mean/2 + r.randomDuration(mean) }

// randomDuration returns a random duration from zero up to, but not including, d.
func (r *Replica) randomDuration(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.cfg.Rand.Int64N(int64(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
