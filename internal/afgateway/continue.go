package afgateway

import "strconv"

// streamPosition is how far a stream to the caller has come, so that another endpoint can continue it and nothing else is
// added to it.
type streamPosition struct {
	// isStarted means that the head of the answer was sent to the caller, and events is the number of relayed events with content.
	isStarted bool
	events    int
	// lastEventID is the ID of the latest relayed event. Empty means that no event had one.
	lastEventID string
	// hasEventsWithoutID means that events without an ID were relayed after the one with lastEventID. No endpoint can continue
	// the stream then, since it would send them again.
	hasEventsWithoutID bool
	// skipsIDs means that IDs of events that one endpoint sent one after the other are not consecutive numbers.
	skipsIDs bool
}

// withEvent returns the position after an event that was relayed. IsFirst means that it is the first event of its endpoint.
func (s streamPosition) withEvent(e event, isFirst bool) streamPosition {
	s.isStarted = true
	if e.hasContent {
		s.events++
	}
	if e.id == "" {
		s.hasEventsWithoutID = s.hasEventsWithoutID || e.hasContent
		return s
	}
	a, b, areNumbers := parseEventIDs(s.lastEventID, e.id)
	s.skipsIDs = s.skipsIDs || !isFirst && s.lastEventID != "" && (!areNumbers || b != a+1)
	s.lastEventID, s.hasEventsWithoutID = e.id, false
	return s
}

// canContinueWith reports whether an event with the ID may be the first one that another endpoint adds to the stream.
func (s streamPosition) canContinueWith(id string) bool {
	if id == "" || id == s.lastEventID {
		return false
	}
	if a, b, areNumbers := parseEventIDs(s.lastEventID, id); areNumbers {
		return b == a+1 || s.skipsIDs && b > a
	}
	return !isEventNumber(s.lastEventID) && !isEventNumber(id)
}

// parseEventIDs returns the numbers of two IDs, if both are numbers.
func parseEventIDs(first, second string) (a, b int64, areNumbers bool) {
	a, errA := strconv.ParseInt(first, 10, 64)
	b, errB := strconv.ParseInt(second, 10, 64)
	return a, b, errA == nil && errB == nil
}

func isEventNumber(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

// isFollowedBy reports whether an event with the ID may be relayed next. IsFirst means that it is the first event of its endpoint, and
// callersLastID is the latest event that the caller had before the request.
func (s streamPosition) isFollowedBy(id string, isFirst bool, callersLastID string) bool {
	if s.events > 0 && isFirst && !s.canContinueWith(id) {
		return false
	}
	last := s.lastEventID
	if last == "" {
		last = callersLastID
	}
	a, b, areNumbers := parseEventIDs(last, id)
	return id == "" || !areNumbers || b > a
}

// canBeContinued reports whether another endpoint can continue the stream.
func (s streamPosition) canBeContinued() bool { return s.lastEventID != "" && !s.hasEventsWithoutID }
