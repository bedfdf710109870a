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
	// BucketCount is the number of claim records that the calls are spread over.
	BucketCount = 64
	// ClaimLifetime is how long a claim is kept.
	ClaimLifetime = 24 * time.Hour
	// MaxRecordBytes bounds the JSON size of a record. The platform accepts values of up to 1 MB.
	MaxRecordBytes = 512 << 10
	// MaxAnswerBodyBytes bounds the body of an answer that is kept.
	MaxAnswerBodyBytes = 4 << 10

	// claimIDBytes is the length of a claim ID before it is encoded as hexadecimal text.
	claimIDBytes = 16
	// claimOverheadBytes is an upper bound of the JSON size of a claim without its variable fields.
	claimOverheadBytes = 192
	// answerOverheadBytes is an upper bound of the JSON size of an answer without its variable fields.
	answerOverheadBytes = 64
)

// ClaimID returns the key of the call's claim in its record: a digest of customer, route and idempotency key.
func (c Call) ClaimID() string {
	h := sha256.New()
	for _, s := range []string{c.Customer, c.Route, c.IdempotencyKey} {
		// Without the lengths, different fields could join to the same input.
		_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(s))))
		_, _ = h.Write([]byte(s))
	}
	return hex.EncodeToString(h.Sum(nil)[:claimIDBytes])
}

// BucketIndex returns the number of the record that holds the call's claim, from 0 to BucketCount-1.
func (c Call) BucketIndex() int {
	b, _ := hex.DecodeString(c.ClaimID()[:2])
	return int(b[0]) % BucketCount
}

// AttemptID identifies one attempt to claim a call. It is unique over all VMs and restarts.
type AttemptID struct {
	VM string `json:"vm"`
	// Start identifies the start of the daemon, as in Incarnation.
	Start int64 `json:"start"`
	// Seq is unique within one start of the daemon.
	Seq uint64 `json:"seq"`
}

// Incarnation returns the incarnation of the VM that made the attempt.
func (a AttemptID) Incarnation() arbutusfork.Incarnation {
	return arbutusfork.Incarnation{VM: a.VM, StartID: a.Start}
}

// Claim is the entry of one call in a record.
type Claim struct {
	Attempt       AttemptID `json:"ticket"`
	RequestDigest string    `json:"body"`
	// ClaimedAt is when the claim was made, in seconds of Unix time.
	ClaimedAt int64 `json:"at"`
	// HasRun means that the call has been dispatched and has ended.
	HasRun bool `json:"done,omitempty"`
	// Answer is nil if the call has not run or if its answer was not kept.
	Answer *Answer `json:"answer,omitempty"`
}

// jsonSizeBound returns an upper bound of the claim's JSON size in bytes.
func (c Claim) jsonSizeBound(id string) int {
	n := claimOverheadBytes + jsonTextSizeBound(id) + jsonTextSizeBound(c.RequestDigest) + jsonTextSizeBound(c.Attempt.VM)
	if c.Answer != nil {
		n += answerOverheadBytes + jsonTextSizeBound(c.Answer.ContentType) + (len(c.Answer.Body)+2)/3*4
	}
	return n
}

// jsonTextSizeBound returns an upper bound of the JSON size of a text, without its quotes. Digests and names take one
// byte for each character. A character that JSON may escape takes six.
func jsonTextSizeBound(s string) int {
	n := len(s)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || strings.IndexByte(`"\\<>&`, c) >= 0 {
			n += 5
		}
	}
	return n
}

// Record contains the claims of one bucket, by claim ID. It is immutable: ApplyOps returns a changed copy.
type Record struct {
	Claims map[string]Claim `json:"claims"`
	// Era is the era of the store in which the record holds every claim that the VMs remember. The store may come back from an
	// older copy of itself, which begins a new era (package afversion) and loses the latest claims.
	Era int64 `json:"era,omitempty"`
}

// JSONSizeBound returns an upper bound of the record's JSON size in bytes.
func (r Record) JSONSizeBound() int {
	n := len(`{"claims":{},"era":9223372036854775807}`)
	for id, c := range r.Claims {
		n += c.jsonSizeBound(id)
	}
	return n
}

// ClaimByID returns the claim with the ID.
func (r Record) ClaimByID(id string) (Claim, bool) {
	c, ok := r.Claims[id]
	return c, ok
}

// withoutExpired returns a copy without the claims older than ClaimLifetime, and whether there were any.
func (r Record) withoutExpired(now time.Time) (Record, bool) {
	oldestClaimedAt := now.Add(-ClaimLifetime).Unix()
	next := Record{Claims: maps.Clone(r.Claims), Era: r.Era}
	if next.Claims == nil {
		next.Claims = make(map[string]Claim)
	}
	maps.DeleteFunc(next.Claims, func(_ string, c Claim) bool { return c.ClaimedAt < oldestClaimedAt })
	return next, len(next.Claims) != len(r.Claims)
}

// dropOldestAnswers removes the oldest answers from the record in place until neededBytes are free or no answer is
// left, and returns the number of bytes freed. The claims stay, because running a call at most once matters more than
// being able to repeat its answer.
func (r Record) dropOldestAnswers(neededBytes int) (freedBytes int) {
	var withAnswer []string
	for id, c := range r.Claims {
		if c.Answer != nil {
			withAnswer = append(withAnswer, id)
		}
	}
	slices.SortFunc(withAnswer, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.Claims[a].ClaimedAt, r.Claims[b].ClaimedAt), strings.Compare(a, b))
	})
	for _, id := range withAnswer {
		if freedBytes >= neededBytes {
			break
		}
		c := r.Claims[id]
		freedBytes += c.jsonSizeBound(id)
		c.Answer = nil
		freedBytes -= c.jsonSizeBound(id)
		r.Claims[id] = c
	}
	return freedBytes
}
