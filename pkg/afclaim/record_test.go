package afclaim

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"arbutusfork.example/arbutusfork"
	"github.com/stretchr/testify/require"
)

func nobody(arbutusfork.Incarnation) bool { return false }

func take(i int) Op {
	return Op{Kind: OpClaim, ClaimID: Call{IdempotencyKey: fmt.Sprint(i)}.ClaimID(), Attempt: AttemptID{VM: "vm", Start: 1 << 60, Seq: uint64(i)}, RequestDigest: strings.Repeat("f", 64)}
}

// TestRecordIsBounded guards against a record that outgrows the platform's limit, and against claims that outlive a day.
func TestRecordIsBounded(t *testing.T) {
	now, r := time.Unix(1_000_000, 0), Record{}
	full := 0
	for i := 0; full == 0; i++ {
		finish := take(i)
		finish.Kind, finish.Answer = OpFinish, Answer{Status: 200, ContentType: "text/plain", Body: []byte(strings.Repeat("\x00", MaxAnswerBodyBytes))}
		next, d, _ := r.ApplyOps([]Op{take(i), finish}, now, nobody)
		if r = next; d[0].RecordFull {
			full = i
		}
	}
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), r.JSONSizeBound())
	require.LessOrEqual(t, r.JSONSizeBound(), MaxRecordBytes)
	t.Logf("%d claims in %d bytes", full, len(raw))
	// Claims count more than the answers of other calls: 105,000 calls a day fit into all records.
	require.Greater(t, full*BucketCount, 100_000)
	first := take(0)
	first.Attempt.Seq = 1 << 40
	_, again, _ := r.ApplyOps([]Op{first}, now, nobody)
	require.Equal(t, VerdictUnknown, again[0].Verdict, "a call whose answer was given up may not run again")

	r, d, changed := r.ApplyOps([]Op{take(full)}, now.Add(ClaimLifetime+time.Second), nobody)
	require.True(t, changed)
	require.Equal(t, Decision{Verdict: VerdictGranted, NeedsCommit: true}, d[0])
	require.Len(t, r.Claims, 1)
}

// TestLargeAnswerIsNotKept guards against a second run of a call whose answer was too large to keep.
func TestLargeAnswerIsNotKept(t *testing.T) {
	finish := take(1)
	finish.Kind, finish.Answer = OpFinish, Answer{Body: make([]byte, MaxAnswerBodyBytes+1)}
	r, _, _ := Record{}.ApplyOps([]Op{take(1), finish}, time.Unix(0, 0), nobody)
	second := take(1)
	second.Attempt.Seq = 2
	_, d, changed := r.ApplyOps([]Op{second}, time.Unix(0, 0), nobody)
	require.False(t, changed)
	require.Equal(t, VerdictUnknown, d[0].Verdict)
}

// TestIDsDiffer guards against two calls that share a claim because their fields join to the same text.
func TestIDsDiffer(t *testing.T) {
	require.NotEqual(t, Call{Customer: "a", Route: "bc"}.ClaimID(), Call{Customer: "ab", Route: "c"}.ClaimID())
	require.Less(t, Call{IdempotencyKey: "k"}.BucketIndex(), BucketCount)
}
