package arbutusfork

import "net/http"

// promisesNotRun reports whether a status promises a caller that its request did not run and never will, so that a caller may send even a
// payment again.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// MayRelayStatus reports whether the caller may get the status of an endpoint that may have run the request. A caller whose request must
// not run twice would take some statuses for a promise that nobody made.
func MayRelayStatus(status int, isRepeatable bool) bool {
	return isRepeatable || !promisesNotRun(status)
}
