package afdispatch

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// PromptParts returns an ID for each part of a prompt: each message of a list, or the whole prompt if it is no list of
// messages. Equal parts of different prompts have the same ID.
func PromptParts(prompt []byte) []string {
	var messages []json.RawMessage
	if json.Unmarshal(prompt, &messages) != nil || len(messages) == 0 || messages[0][0] != '{' {
		messages = []json.RawMessage{bytes.TrimSpace(prompt)}
	}
	var parts []string
	for _, m := range messages[:min(len(messages), afquarantine.MaxParts)] {
		if len(m) > 0 {
			parts = append(parts, strconv.FormatUint(xxhash.Sum64(m), 16))
		}
	}
	return parts
}

// checkCrash finds out in the background whether the endpoint of a failed attempt has crashed, and records the request as a
// suspect. An endpoint whose answer had gone beyond its first event did not crash on the prompt.
func (s *Service) checkCrash(r Request, l *Lease, a attemptResult) {
	isListed := s.IsEndpointListed == nil || s.IsEndpointListed(l.Replica.Endpoint)
	if len(r.PromptParts) == 0 || !a.RequestWritten || a.eventCount > 1 || !a.isEndpointFault() || a.isDraining || !isListed {
		return
	}
	suspect := afquarantine.NewSuspect(r.PromptParts, a.StatusCode != 0)
	if a.eventCount > 0 {
		suspect = suspect.WithFirstEvent()
	}
	at := s.Timer.Now()
	// An endpoint that restarts keeps its name, and takes longer than a second to restart.
	s.CrashWatch.Suspect(l.Replica.Address, afquarantine.Crash{
		Service: r.Service, Endpoint: l.Replica.Endpoint, StartUnixMs: at.Unix() * 1000, At: at,
		Suspects: []afquarantine.Suspect{suspect},
	})
}
