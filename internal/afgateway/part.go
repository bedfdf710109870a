package afgateway

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

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
