// Package clock provides the current time unaffected by steps of the system clock.
package clock

import "time"

var processStart = time.Now()

// Now returns the wall clock time at the start of the process plus the monotonic time elapsed since then. The result has
// no monotonic clock reading; its wall clock reading advances steadily.
func Now() time.Time { return processStart.Round(0).Add(time.Since(processStart)) }
