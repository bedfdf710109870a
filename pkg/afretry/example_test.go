package afretry_test

import (
	"fmt"

	"arbutusfork.example/arbutusfork/pkg/afretry"
)

// A payment whose connection broke after its bytes were handed over may have run, so it is not sent again.
func ExampleMay() {
	refused := afretry.Classify(afretry.Attempt{})
	broken := afretry.Classify(afretry.Attempt{Handed: true})
	fmt.Println(refused, afretry.May(refused, false, false))
	fmt.Println(broken, afretry.May(broken, false, false))
	// Output:
	// not run true
	// unknown false
}
