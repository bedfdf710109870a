package afgateway

import "strings"

//go:generate stringer -type=answerProgress -linecomment -output=progress_string.go

// answerProgress is how far an endpoint's answer to one attempt has come.
type answerProgress int

const (
	// progressNone means that no byte of the answer has arrived.
	progressNone answerProgress = iota // none
	// progressHead means that the head of the answer has arrived, but no complete event and no body.
	progressHead // head
	// progressBody means that a part of the answer's content has arrived.
	progressBody // body
)

// sharedParts returns the parts of a prompt that other sessions may share: all but the last one.
func sharedParts(headers RequestHeaders) []PromptPart {
	return headers.PromptParts[:max(len(headers.PromptParts)-1, 0)]
}

// formatSharedParts returns the IDs of the shared parts of a prompt for the log.
func formatSharedParts(headers RequestHeaders) string {
	parts := sharedParts(headers)
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
	}
	return strings.Join(ids, ",")
}
