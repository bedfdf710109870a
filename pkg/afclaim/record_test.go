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

func noHolderGone(arbutusfork.Incarnation) bool { return false }

func claimOp(i int) Op {
	return Op{Kind: OpClaim, ClaimID: Call{IdempotencyKey: fmt.Sprint(i)}.ClaimID(), Attempt: AttemptID{VM: "vm", Start: 1 << 60, Seq: uint64(i)}, RequestDigest: strings.Repeat("f", 64)}
}

// TestRecordIsBounded guards against a record that exceeds the platform's size limit, and against claims that are
// kept longer than ClaimLifetime.
func TestRecordIsBounded(t *testing.T) {
	now, r := time.Unix(1_000_000, 0), Record{}
	claimsUntilFull := 0
	for i := 0; claimsUntilFull == 0; i++ {
		finish := claimOp(i)
		finish.Kind, finish.Answer = OpFinish, Answer{Status: 200, ContentType: "text/plain", Body: []byte(strings.Repeat("\x00", MaxAnswerBodyBytes))}
		next, d, _ := r.ApplyOps([]Op{claimOp(i), finish}, now, noHolderGone)
		if r = next; d[0].RecordFull {
			claimsUntilFull = i
		}
	}
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	require.LessOrEqual(t, len(raw), r.JSONSizeBound())
	require.LessOrEqual(t, r.JSONSizeBound(), MaxRecordBytes)
	t.Logf("%d claims in %d bytes", claimsUntilFull, len(raw))
	// Answers are dropped to make room for claims, so that 105,000 calls a day fit into all records.
	require.Greater(t, claimsUntilFull*BucketCount, 100_000)
	retry := claimOp(0)
	retry.Attempt.Seq = 1 << 40
	_, decisions, _ := r.ApplyOps([]Op{retry}, now, noHolderGone)
	require.Equal(t, VerdictUnknown, decisions[0].Verdict, "a call whose answer was dropped must not run again")

	r, d, changed := r.ApplyOps([]Op{claimOp(claimsUntilFull)}, now.Add(ClaimLifetime+time.Second), noHolderGone)
	require.True(t, changed)
	require.Equal(t, Decision{Verdict: VerdictGranted, NeedsCommit: true}, d[0])
	require.Len(t, r.Claims, 1)
}

// TestLargeAnswerIsNotKept guards against a second run of a call whose answer is too large to keep.
func TestLargeAnswerIsNotKept(t *testing.T) {
	finish := claimOp(1)
	finish.Kind, finish.Answer = OpFinish, Answer{Body: make([]byte, MaxAnswerBodyBytes+1)}
	r, _, _ := Record{}.ApplyOps([]Op{claimOp(1), finish}, time.Unix(0, 0), noHolderGone)
	retry := claimOp(1)
	retry.Attempt.Seq = 2
	_, d, changed := r.ApplyOps([]Op{retry}, time.Unix(0, 0), noHolderGone)
	require.False(t, changed)
	require.Equal(t, VerdictUnknown, d[0].Verdict)
}

// TestClaimIDsDiffer guards against two calls that share a claim because their fields join to the same text.
func TestClaimIDsDiffer(t *testing.T) {
	require.NotEqual(t, Call{Customer: "a", Route: "bc"}.ClaimID(), Call{Customer: "ab", Route: "c"}.ClaimID())
	require.Less(t, Call{IdempotencyKey: "k"}.BucketIndex(), BucketCount)
}
