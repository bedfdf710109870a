package afprefill

import "time"

// lateFraction is the part of the target interval from which an event counts as late, so that the pace falls before callers notice.
const lateFraction = 0.8

// IsLate reports whether the time between two events of a stream shows that its engine gets prompts too fast.
func IsLate(interval, target time.Duration) bool {
	return target > 0 && interval > time.Duration(lateFraction*float64(target))
}
