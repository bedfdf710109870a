package afdispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// crashCheckTimeout bounds the attempt to connect to an endpoint whose answer broke off.
const crashCheckTimeout = 600 * time.Millisecond

// CrashWatch connects the dispatcher to what all VMs know about prompts that crash endpoints. Without its functions, no
// prompt is quarantined.
type CrashWatch struct {
	// FindQuarantine reports whether requests of the service with the parts must not be sent, and for how long.
	FindQuarantine func(service string, parts []string) (time.Duration, bool)
	// RecordCrash is called with a request that was in progress when its endpoint crashed. It must not block.
	RecordCrash func(afquarantine.Crash)
	// RecordAnswer is called with the parts of a request that was answered. It must not block.
	RecordAnswer func(service string, parts []string, at time.Time)
}

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

// refuseQuarantined returns the refusal of a request whose prompt is quarantined, or nil.
func (s *Service) refuseQuarantined(r Request) *arbutusfork.Refusal {
	if s.CrashWatch.FindQuarantine == nil || len(r.PromptParts) == 0 {
		return nil
	}
	remaining, isQuarantined := s.CrashWatch.FindQuarantine(r.Service, r.PromptParts)
	if !isQuarantined {
		return nil
	}
	return arbutusfork.NewRefusal(arbutusfork.CodePromptQuarantined, "a part of the prompt crashes the endpoints of service "+strconv.Quote(r.Service)).WithRetryAfter(remaining)
}

// recordAnswer records that an endpoint answered the request.
func (s *Service) recordAnswer(r Request) {
	if s.CrashWatch.RecordAnswer != nil && len(r.PromptParts) > 0 {
		s.CrashWatch.RecordAnswer(r.Service, r.PromptParts, s.Timer.Now())
	}
}

// checkCrash finds out in the background whether the endpoint of a failed attempt has crashed, and records the request as a
// suspect. An endpoint whose answer had gone beyond its first event did not crash on the prompt.
func (s *Service) checkCrash(r Request, l *Lease, a attemptResult) {
	isListed := s.IsEndpointListed == nil || s.IsEndpointListed(l.Replica.Endpoint)
	if s.CrashWatch.RecordCrash == nil || len(r.PromptParts) == 0 || !a.RequestWritten || a.eventCount > 1 || !a.isEndpointFault() || a.isDraining || !isListed {
		return
	}
	at := s.Timer.Now()
	// An endpoint that restarts keeps its name, and takes longer than a second to restart.
	crash := afquarantine.Crash{
		Service: r.Service, Endpoint: l.Replica.Endpoint, StartUnixMs: at.Unix() * 1000, At: at,
		Suspects: []afquarantine.Suspect{afquarantine.NewSuspect(r.PromptParts, a.StatusCode != 0)},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", l.Replica.Address)
		if err == nil {
			_ = conn.Close() // Nothing was sent.
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.CrashWatch.RecordCrash(crash)
		}
	}()
}
