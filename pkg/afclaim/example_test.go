package afclaim_test

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afclaim"
)

// The first claim is granted once the changed record is committed. A second one for the same call is not.
func ExampleRecord_Apply() {
	call := afclaim.Call{Customer: "c", Route: "payments", Key: "k-1", Body: "digest"}
	alive := func(arbutusfork.Incarnation) bool { return false }
	claim := func(r afclaim.Record, vm string) afclaim.Record {
		op := afclaim.Op{Verb: afclaim.Take, ID: call.ID(), Body: call.Body, Ticket: afclaim.Ticket{VM: vm, Start: 1, Seq: 1}}
		next, decisions, changed := r.Apply([]afclaim.Op{op}, time.Unix(0, 0), alive)
		fmt.Println(vm, decisions[0].Verdict, "to be committed:", changed)
		return next
	}
	claim(claim(afclaim.Record{}, "vm-1"), "vm-2")
	// Output:
	// vm-1 granted to be committed: true
	// vm-2 in progress to be committed: false
}
