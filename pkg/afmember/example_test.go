package afmember_test

import (
	"fmt"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

// A key moves only if its home leaves.
func ExampleView_Home() {
	vms := []arbutusfork.VM{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	v := afmember.New(vms[0]).WithList(vms)
	before, _ := v.Home("customer")
	v = v.WithObservation(afmember.Observation{VM: before, Suspected: true})
	after, _ := v.Home("customer")
	fmt.Println("moved:", before.Name != after.Name)
	// Output: moved: true
}
