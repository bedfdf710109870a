package afplacement_test

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// A VM that finds no record of the shard takes the shard over with a conditional write, and decides only after the
// commit.
func ExampleView_Step() {
	now := time.Unix(0, 0)
	v := afplacement.NewView(arbutusfork.Incarnation{VM: "vm-1", StartID: 1}, afplacement.Config{
		Service:    arbutusfork.Service{Name: "llm"},
		Endpoints:  map[string]arbutusfork.Endpoint{"e1": {Name: "e1", Service: "llm", MemoryMB: 48000, Slots: 8}},
		Models:     map[string]arbutusfork.Model{"m": {Name: "m", Service: "llm", MemoryMB: 9000, StoreLoadMillis: 20000}},
		ShardCount: 1,
	})
	v, effects := v.Step(afplacement.RecordFetched{}, now)
	for _, e := range effects {
		if c, ok := e.(afplacement.CommitRecord); ok {
			fmt.Println("commit on version", c.Version, "with fence", c.Record.Fence)
		}
	}
	fmt.Println("owner before the commit:", v.HasLease(now))
	v, _ = v.Step(afplacement.CommitSucceeded{Version: 1}, now)
	fmt.Println("owner after the commit:", v.HasLease(now))
	// Output:
	// commit on version 0 with fence 1
	// owner before the commit: false
	// owner after the commit: true
}
