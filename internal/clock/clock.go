// Package clock gives times that steps of the time of day don't move.
package clock

import "time"

var epoch = time.Now()

// Now returns the time of day at the start of the process plus the steady time passed since. All parts of such times, the
// wall clock reading too, advance steadily.
func Now() time.Time { return epoch.Round(0).Add(time.Since(epoch)) }
