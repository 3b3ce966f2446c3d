package follow

import "time"

// UseClock replaces the time since boot, which no test can set. Call it before Run.
func (f *Follower) UseClock(since func() time.Duration) { f.sinceBoot = since }
