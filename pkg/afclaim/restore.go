package afclaim

import (
	"maps"

	"arbutusfork.example/arbutusfork"
)

// Memory is what a VM remembers of a record that the store may have lost.
type Memory struct {
	Holder arbutusfork.Incarnation
	// Record is the latest record that the holder has read or written, without its own claims that it neither was granted nor
	// waits for.
	Record Record
	// Granted are the IDs of the calls that the holder was granted.
	Granted []string
}

// Restored returns the record completed by what all VMs remember, as the record of an era. A claim of a VM that does not
// remember it any more was cancelled. One of a VM that has ended stays, because a call must not run twice.
func (r Record) Restored(era int64, memories []Memory) Record {
	claims := maps.Clone(r.Claims)
	if claims == nil {
		claims = make(map[string]Claim)
	}
	for _, m := range memories {
		for id, c := range m.Record.Claims {
			if old, exists := claims[id]; !exists || c.saysMoreThan(old) {
				claims[id] = c
			}
		}
	}
	for _, m := range memories {
		for _, id := range m.Granted {
			if c, ok := m.Record.Claims[id]; ok && !claims[id].HasRun {
				claims[id] = c
			}
		}
		maps.DeleteFunc(claims, func(id string, c Claim) bool {
			return c.Attempt.Incarnation() == m.Holder && !c.HasRun && m.Record.Claims[id].Attempt != c.Attempt
		})
	}
	next := Record{Claims: claims, Era: era}
	if excess := next.JSONSizeBound() - MaxRecordBytes; excess > 0 {
		next.dropOldestAnswers(excess)
	}
	return next
}

// saysMoreThan reports whether c knows more of the end of its call than another claim of the call.
func (c Claim) saysMoreThan(other Claim) bool {
	return c.HasRun && (!other.HasRun || c.Answer != nil && other.Answer == nil)
}

// WithoutClaims returns a copy without the matching claims.
func (r Record) WithoutClaims(matches func(Claim) bool) Record {
	claims := maps.Clone(r.Claims)
	maps.DeleteFunc(claims, func(_ string, c Claim) bool { return matches(c) })
	r.Claims = claims
	return r
}
