package afgateway

//go:generate stringer -type=answerProgress -linecomment -output=progress_string.go

// answerProgress is how far an endpoint's answer to one attempt has come.
type answerProgress int

const (
	// progressNone means that no byte of the answer has arrived.
	progressNone answerProgress = iota // none
	// progressHead means that the head of the answer has arrived, and no event.
	progressHead // head
	// progressEvent means that the head and one event of a stream have arrived.
	progressEvent // event
	// progressBody means that more of the answer's content has arrived.
	progressBody // body
)

// streamProgress returns the progress of a stream after a number of events.
func streamProgress(events int) answerProgress {
	switch events {
	case 0:
		return progressHead
	case 1:
		return progressEvent
	}
	return progressBody
}

// isBeginning reports whether the answer has begun, and an endpoint that crashes as it begins to answer may have sent as much.
func (p answerProgress) isBeginning() bool { return p == progressHead || p == progressEvent }
