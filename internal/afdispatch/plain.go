package afdispatch

import (
	"sync/atomic"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afplacement"
)

// defaultPlainSlots is the credit at an instance of a plain service whose configuration sets none.
const defaultPlainSlots = 64

// plainTable is the endpoints of plain services of one snapshot.
type plainTable struct {
	snapshot *afconfig.Snapshot
	services map[string][]afplacement.Replica
}

// PlainEndpoints returns a function for Service.Endpoints that follows the configuration. Leaving endpoints are
// left out. Each VM uses all slots of an endpoint, since plain services have no shared credits.
func PlainEndpoints(current func() *afconfig.Snapshot) func(service string) []afplacement.Replica {
	var last atomic.Pointer[plainTable]
	return func(service string) []afplacement.Replica {
		s := current()
		t := last.Load()
		if t == nil || t.snapshot != s {
			t = newPlainTable(s)
			last.Store(t)
		}
		return t.services[service]
	}
}

func newPlainTable(s *afconfig.Snapshot) *plainTable {
	t := &plainTable{snapshot: s, services: make(map[string][]afplacement.Replica)}
	for _, e := range s.Endpoints() {
		v, ok := s.Service(e.Service)
		if !ok || v.Kind != arbutusfork.ServicePlain || e.Leaving {
			continue
		}
		slots := e.Slots
		if slots <= 0 {
			slots = defaultPlainSlots
		}
		t.services[e.Service] = append(t.services[e.Service],
			afplacement.Replica{Endpoint: e.Name, Address: e.Address, Centre: e.Centre, Slots: slots})
	}
	return t
}
