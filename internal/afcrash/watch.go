package afcrash

import (
	"net"
	"strconv"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afquarantine"
)

// Watch connects the sending of requests to what all VMs know about prompts that crash endpoints. Without its functions, no
// prompt is quarantined.
type Watch struct {
	// FindQuarantine reports whether requests of the service with the parts must not be sent, and for how long.
	FindQuarantine func(service string, parts []string) (time.Duration, bool)
	// CheckCrash is called with a request whose answer broke off, as the suspect of a crash of the endpoint at the address. It must
	// not block.
	CheckCrash func(address string, suspected afquarantine.Crash)
	// RecordAnswer is called with the parts of a request that was answered, and with the time at which its answer began. It must
	// not block.
	RecordAnswer func(service string, parts []string, beganAt time.Time)
}

// NewWatch returns a watch that uses the evidence of this service.
func (s *Service) NewWatch() Watch {
	var d net.Dialer
	checker := &Checker{Dial: d.DialContext, RecordCrash: s.RecordCrash}
	return Watch{FindQuarantine: s.FindQuarantine, CheckCrash: checker.Check, RecordAnswer: s.RecordAnswer}
}

// Refuse returns the refusal of a request whose prompt is quarantined, or nil.
func (w Watch) Refuse(service string, parts []string) *arbutusfork.Refusal {
	if w.FindQuarantine == nil || len(parts) == 0 {
		return nil
	}
	remaining, isQuarantined := w.FindQuarantine(service, parts)
	if !isQuarantined {
		return nil
	}
	return arbutusfork.NewRefusal(arbutusfork.CodePromptQuarantined, "a part of the prompt crashes the endpoints of "+strconv.Quote(service)).WithRetryAfter(remaining)
}

// Suspect records a request whose answer the endpoint at the address broke off as suspect, if the endpoint has crashed.
func (w Watch) Suspect(address string, suspected afquarantine.Crash) {
	if w.CheckCrash != nil {
		w.CheckCrash(address, suspected)
	}
}

// Answered records that a request with the parts was answered, and when its answer began.
func (w Watch) Answered(service string, parts []string, beganAt time.Time) {
	if w.RecordAnswer != nil && len(parts) > 0 {
		w.RecordAnswer(service, parts, beganAt)
	}
}
