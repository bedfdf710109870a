package afgateway

import "strings"

//go:generate stringer -type=answerProgress -linecomment -output=progress_string.go

// answerProgress is how far an endpoint's answer to one attempt has come.
type answerProgress int

const (
	// progressNone means that no byte of the answer has arrived.
	progressNone answerProgress = iota // none
	// progressHead means that the head of the answer has arrived, and no more of its content than one event.
	progressHead // head
	// progressBody means that more of the answer's content has arrived.
	progressBody // body
)

// streamProgress returns the progress of a stream after a number of events.
func streamProgress(events int) answerProgress {
	if events > 1 {
		return progressBody
	}
	return progressHead
}

// partIDs returns the IDs of the parts of a prompt.
func partIDs(headers RequestHeaders) []string {
	ids := make([]string, len(headers.PromptParts))
	for i, part := range headers.PromptParts {
		ids[i] = part.ID
	}
	return ids
}

// formatSharedParts returns the IDs of the parts of a prompt that other sessions may share, which are all but the last one.
func formatSharedParts(headers RequestHeaders) string {
	ids := partIDs(headers)
	return strings.Join(ids[:max(len(ids)-1, 0)], ",")
}
