package follow

import "time"

// UseClock replaces the source of the time since boot, which a test cannot set
// otherwise. Call it before Run.
func (f *Follower) UseClock(since func() time.Duration) { f.sinceBoot = since }
