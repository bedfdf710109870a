package afclaim_test

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// The first claim of a call is granted once the changed record is committed. A second claim of the same call is not
// granted.
func ExampleRecord_ApplyOps() {
	call := afclaim.Call{Customer: "c", Route: "payments", IdempotencyKey: "k-1", RequestDigest: "digest"}
	noHolderGone := func(arbutusfork.Incarnation) bool { return false }
	claim := func(r afclaim.Record, vm string) afclaim.Record {
		op := afclaim.Op{Kind: afclaim.OpClaim, ClaimID: call.ClaimID(), RequestDigest: call.RequestDigest, Attempt: afclaim.AttemptID{VM: vm, Start: 1, Seq: 1}}
		next, decisions, changed := r.ApplyOps([]afclaim.Op{op}, time.Unix(0, 0), noHolderGone)
		fmt.Println(vm, decisions[0].Verdict, "to be committed:", changed)
		return next
	}
	claim(claim(afclaim.Record{}, "vm-1"), "vm-2")
	// Output:
	// vm-1 granted to be committed: true
	// vm-2 in progress to be committed: false
}
