package afgateway

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

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

// maxPartIDBytes bounds the length of the ID of a part, which callers choose and which is kept, logged and sent to other VMs.
const maxPartIDBytes = 64

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 8

// partIDs returns the IDs of at most afquarantine.MaxParts parts of a prompt. A hash stands for an ID that is too long.
func partIDs(headers RequestHeaders) []string {
	parts := headers.PromptParts[:min(len(headers.PromptParts), afquarantine.MaxParts)]
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = part.ID
		if len(part.ID) > maxPartIDBytes {
			ids[i] = strconv.FormatUint(xxhash.Sum64String(part.ID), 16)
		}
	}
	return ids
}

// formatSharedParts returns the IDs of the first parts of a prompt that other sessions may share, which are all but the last
// one.
func formatSharedParts(headers RequestHeaders) string {
	ids := partIDs(headers)
	return strings.Join(ids[:min(max(len(ids)-1, 0), maxLoggedParts)], ",")
}
