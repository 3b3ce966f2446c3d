package knowledge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/plantainrun/plantainrun/coord/dissemination"
	"github.com/plantainrun/plantainrun/internal/confservice"
)

// Bounds of the wait after a failed call to the configuration service.
const (
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 3 * time.Second
)

// superviseWatches holds the watches while this host is a reader.
func (k *Knowledge) superviseWatches(ctx context.Context) {
	for ctx.Err() == nil {
		if k.isReader() {
			k.holdWatches(ctx)
		} else {
			k.waitForHosts(ctx)
		}
	}
}

// holdWatches follows every key until this host is no reader any more.
func (k *Knowledge) holdWatches(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for _, key := range k.store.Keys() {
		wg.Go(func() { k.watch(ctx, key) })
	}
	for ctx.Err() == nil && k.isReader() {
		k.waitForHosts(ctx)
	}
}

// waitForHosts returns when the readers may have changed.
func (k *Knowledge) waitForHosts(ctx context.Context) {
	timer := time.NewTimer(readerCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-k.nudge:
	case <-timer.C:
	}
}

// watch follows one key until ctx ends. Each key has its own watch, for keys
// that lag become visible after later revisions of other keys.
func (k *Knowledge) watch(ctx context.Context, key string) {
	backoff := confservice.Backoff{Initial: firstBackoff, Max: maxBackoff}
	for ctx.Err() == nil {
		q := confservice.WatchRequest{After: k.store.Seen(key), Keys: []string{key}, Wait: k.cfg.WatchWait}
		asked := time.Now()
		changes, err := k.cfg.Source.Watch(ctx, q)
		if err == nil && len(changes) > 0 {
			err = k.read(ctx, key)
		} else if err == nil {
			k.confirmed(key, asked)
		}
		if err != nil {
			sleep(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		if len(changes) > 0 {
			sleep(ctx, k.cfg.BatchInterval)
		}
	}
}

// read reads one key and offers it. A key without a value is no error.
func (k *Knowledge) read(ctx context.Context, key string) error {
	asked := time.Now()
	v, err := k.cfg.Source.Read(ctx, key)
	var missing *confservice.NotFoundError
	var older *confservice.StaleRevisionError
	switch {
	case errors.As(err, &missing):
		k.answered()
		return nil
	case errors.As(err, &older):
		k.counters.platformOlder.Add(1)
		return err
	case err != nil:
		return err
	}
	k.answered()
	seen := k.store.Seen(key)
	result := k.offer(dissemination.NewValue(key, v.Revision, v.Body), sourcePlatform)
	if result.Outcome == dissemination.Older {
		k.counters.platformOlder.Add(1)
		return &confservice.StaleRevisionError{Key: key, Revision: v.Revision, Seen: seen}
	}
	k.confirmed(key, asked)
	return nil
}

// runChecks asks the configuration service directly, now and then, as long as
// this host is no reader.
func (k *Knowledge) runChecks(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, k.jittered(k.cfg.CheckInterval))
		if !k.isReader() {
			_ = k.check(ctx) // tried again after the interval
		}
	}
}

// check asks once which keys changed and reads these.
func (k *Knowledge) check(ctx context.Context) error {
	keys := k.store.Keys()
	q := confservice.WatchRequest{After: k.store.Seen(keys[0]), Keys: keys}
	for _, key := range keys {
		q.After = min(q.After, k.store.Seen(key))
	}
	asked := time.Now()
	changes, err := k.cfg.Source.Watch(ctx, q)
	if err != nil {
		return err
	}
	k.answered()
	newest := make(map[string]uint64, len(changes))
	for _, c := range changes {
		newest[c.Key] = c.Revision
	}
	for _, key := range keys {
		seen := k.store.Seen(key)
		switch revision := newest[key]; {
		case revision > seen:
			err = errors.Join(err, k.read(ctx, key))
		case revision == seen:
			k.confirmed(key, asked)
		case seen > q.After:
			k.counters.platformOlder.Add(1)
		}
	}
	return err
}

// jittered returns a duration around mean, by up to half of it.
func (k *Knowledge) jittered(mean time.Duration) time.Duration { return mean/2 + k.below(mean) }

// below returns a random duration below d.
func (k *Knowledge) below(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Duration(k.cfg.Rand.Int64N(int64(d)))
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
