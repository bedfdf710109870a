package afretry_test

import (
	"fmt"

	"arbutusfork.example/arbutusfork/pkg/afretry"
)

// A payment whose connection broke after its bytes were handed over may have run, so it is not sent again.
func ExampleMayRetry() {
	refused := afretry.ClassifyAttempt(afretry.Attempt{})
	broken := afretry.ClassifyAttempt(afretry.Attempt{RequestWritten: true})
	fmt.Println(refused, afretry.MayRetry(refused, false, false))
	fmt.Println(broken, afretry.MayRetry(broken, false, false))
	// Output:
	// not run true
	// unknown false
}
