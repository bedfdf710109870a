package afclaim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"arbutusfork.example/arbutusfork"
)

const (
	// BucketCount is the number of claim records that calls are spread over.
	BucketCount = 64
	// ClaimLifetime is how long a claim is kept.
	ClaimLifetime = 24 * time.Hour
	// MaxRecordBytes bounds the JSON form of a record. The platform takes values up to 1 MB.
	MaxRecordBytes = 512 << 10
	// MaxAnswerBodyBytes bounds the body of an answer that is kept.
	MaxAnswerBodyBytes = 4 << 10

	idBytes = 16
	// claimBytes is above the JSON size of a claim without its variable fields.
	claimBytes = 192
	// answerBytes is above the JSON size of an answer without its variable fields.
	answerBytes = 64
)

// ClaimID returns the digest of customer, route and key that the claim is kept under.
func (c Call) ClaimID() string {
	h := sha256.New()
	for _, s := range []string{c.Customer, c.Route, c.IdempotencyKey} {
		// The length keeps different triples from having the same input.
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// BucketIndex returns the number of the record that holds the claim, from 0 to BucketCount-1.
func (c Call) BucketIndex() int {
	b, _ := hex.DecodeString(c.ClaimID()[:2])
	return int(b[0]) % BucketCount
}

// AttemptID names one attempt to claim. No two attempts share one.
type AttemptID struct {
	VM    string `json:"vm"`
	Start int64  `json:"start"`
	Seq   uint64 `json:"seq"`
}

// Incarnation returns the start of the daemon that made the attempt.
func (t AttemptID) Incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: t.VM, Start: t.Start}
}

// Claim is one call's entry in a record.
type Claim struct {
	Attempt       AttemptID `json:"ticket"`
	RequestDigest string    `json:"body"`
	// ClaimedAt is when the claim was made, in seconds of Unix time.
	ClaimedAt int64 `json:"at"`
	// HasRun tells that the call has run.
	HasRun bool `json:"done,omitempty"`
	// Answer is nil for a call that has not run or whose answer was too large to keep.
	Answer *Answer `json:"answer,omitempty"`
}

// bytes returns an upper bound of the claim's JSON size.
func (c Claim) bytes(id string) int {
	n := claimBytes + textBytes(id) + textBytes(c.RequestDigest) + textBytes(c.Attempt.VM)
	if c.Answer != nil {
		n += answerBytes + textBytes(c.Answer.ContentType) + (len(c.Answer.Body)+2)/3*4
	}
	return n
}

// textBytes returns an upper bound of the JSON size of a text without its quotes. Digests and names take a byte for
// each character; what JSON may escape takes six.
func textBytes(s string) int {
	n := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || strings.IndexByte(`"\\<>&`, c) >= 0 {
			n += 5
		}
	}
	return n
}

// Record holds the claims of one bucket. It is immutable; ApplyOps returns a changed copy.
type Record struct {
	Claims map[string]Claim `json:"claims"`
}

// JSONSizeBound returns an upper bound of the record's JSON size in bytes.
func (r Record) JSONSizeBound() int {
	n := len(`{"claims":{}}`)
	for id, c := range r.Claims {
		n += c.bytes(id)
	}
	return n
}

// ClaimByID returns the claim with the ID.
func (r Record) ClaimByID(id string) (Claim, bool) {
	c, ok := r.Claims[id]
	return c, ok
}

// withoutExpired returns a copy without the claims above their lifetime, and whether there were any.
func (r Record) withoutExpired(now time.Time) (Record, bool) {
	limit := now.Add(-ClaimLifetime).Unix()
	next := Record{Claims: maps.Clone(r.Claims)}
	if next.Claims == nil {
		next.Claims = make(map[string]Claim)
	}
	maps.DeleteFunc(next.Claims, func(_ string, c Claim) bool { return c.ClaimedAt < limit })
	return next, len(next.Claims) != len(r.Claims)
}

// dropAnswers gives up the oldest answers in place until need bytes are free or none is left, and returns the bytes
// freed. Their calls stay claimed, since that a call runs once matters more than that its answer can be repeated.
func (r Record) dropAnswers(need int) (freed int) {
	var kept []string
	for id, c := range r.Claims {
		if c.Answer != nil {
			kept = append(kept, id)
		}
	}
	slices.SortFunc(kept, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Claims[a].ClaimedAt, r.Claims[b].ClaimedAt), strings.Compare(a, b))
	})
	for _, id := range kept {
		if freed >= need {
			break
		}
		c := r.Claims[id]
		freed += c.bytes(id)
		c.Answer = nil
		freed -= c.bytes(id)
		r.Claims[id] = c
	}
	return freed
}
