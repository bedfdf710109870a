package afretry_test

import (
	"fmt"

	"arbutusfork.example/arbutusfork/pkg/afretry"
)

// A payment may have run if its connection broke after the request was written, so it is not retried.
func ExampleMayRetry() {
	unsent := afretry.ClassifyAttempt(afretry.Attempt{})
	unanswered := afretry.ClassifyAttempt(afretry.Attempt{RequestWritten: true})
	fmt.Println(unsent, afretry.MayRetry(unsent, false, false))
	fmt.Println(unanswered, afretry.MayRetry(unanswered, false, false))
	// Output:
	// not run true
	// unknown false
}
