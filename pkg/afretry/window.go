package afretry

import "time"

// windowBuckets is the number of buckets into which a window is divided. The requests and retries of a bucket leave the
// window at the same time.
const windowBuckets = 10

// RetryWindow bounds the retries of one service in a sliding window to a ratio of its requests plus a constant number. The
// zero value allows no retries. A RetryWindow is not safe for concurrent use.
type RetryWindow struct {
	// RetryRatio is the number of retries that each request in the window allows.
	RetryRatio float64
	// ExtraRetries is the number of retries that each window allows in addition.
	ExtraRetries float64
	// Length is the duration of the window.
	Length time.Duration

	buckets [windowBuckets + 1]windowBucket
}

// windowBucket counts the requests and retries of one part of the window.
type windowBucket struct {
	// index is the time of the bucket divided by the duration of a bucket.
	index             int64
	requests, retries int
}

// currentBucket returns the bucket for a time, emptied if the bucket held an earlier time.
func (w *RetryWindow) currentBucket(now time.Time) *windowBucket {
	index := now.UnixNano() / max(int64(w.Length/windowBuckets), 1)
	bucket := &w.buckets[index%int64(len(w.buckets))]
	if bucket.index != index {
		*bucket = windowBucket{index: index}
	}
	return bucket
}

// CountRequest counts the first attempt of a request.
func (w *RetryWindow) CountRequest(now time.Time) { w.currentBucket(now).requests++ }

// ReturnRetry takes back a retry that was taken at a time and not sent. One that has left the window changes nothing.
func (w *RetryWindow) ReturnRetry(takenAt time.Time) {
	index := takenAt.UnixNano() / max(int64(w.Length/windowBuckets), 1)
	if bucket := &w.buckets[index%int64(len(w.buckets))]; bucket.index == index && bucket.retries > 0 {
		bucket.retries--
	}
}

// TakeRetry counts a retry and returns true if the window allows one. Otherwise it counts nothing and returns false.
func (w *RetryWindow) TakeRetry(now time.Time) bool { return w.TakeRetryWithin(now, 1) }

// TakeRetryWithin is like TakeRetry for retries that may use only a fraction of what the window allows, so that others find some left.
func (w *RetryWindow) TakeRetryWithin(now time.Time, fraction float64) bool {
	current := w.currentBucket(now)
	requests, retries := w.count(current.index, current.index)
	if !w.allows(requests, retries+1, fraction) {
		return false
	}
	current.retries++
	return true
}

// TimeUntilRetry returns the time after which the window allows a retry if no request and no retry is counted until then. It is at
// most the length of the window and of a bucket, after which all retries have left it.
func (w *RetryWindow) TimeUntilRetry(now time.Time) time.Duration {
	length := max(int64(w.Length/windowBuckets), 1)
	first := now.UnixNano() / length
	for index := first; index <= first+windowBuckets+1; index++ {
		if requests, retries := w.count(first, index); w.allows(requests, retries+1, 1) {
			return max(time.Duration(index*length-now.UnixNano()), 0)
		}
	}
	return w.Length
}

// allows reports whether a fraction of what the window allows covers the retries.
func (w *RetryWindow) allows(requests, retries int, fraction float64) bool {
	return float64(retries) <= fraction*(w.RetryRatio*float64(requests)+w.ExtraRetries)
}

// count returns the requests and retries up to the current bucket that are in the window which ends with the bucket last.
func (w *RetryWindow) count(current, last int64) (requests, retries int) {
	for _, bucket := range w.buckets {
		if bucket.index > last-int64(len(w.buckets)) && bucket.index <= current {
			retries += bucket.retries
			requests += bucket.requests
		}
	}
	return requests, retries
}
