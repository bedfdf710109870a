package afmember_test

import (
	"fmt"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afmember"
)

// A key moves to another VM only if its home leaves.
func ExampleView_HomeVM() {
	vms := []arbutusfork.VM{{Name: "vm-1"}, {Name: "vm-2"}, {Name: "vm-3"}}
	v := afmember.NewView(vms[0]).WithList(vms)
	before, _ := v.HomeVM("customer")
	v = v.WithObservation(afmember.Observation{VM: before, Suspected: true})
	after, _ := v.HomeVM("customer")
	fmt.Println("moved:", before.Name != after.Name)
	// Output: moved: true
}
