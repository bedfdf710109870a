package afkeeper

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// Guards against a message with values that no VM sends and that blocks an engine, adds units to a limit, spoils the demand of all
// VMs, or takes the placement duty from a holder without a name.
func TestOddMessagesAreRefused(t *testing.T) {
	boot := time.Minute
	s := newHolderTestService(t, "a", &boot)
	s.CompareFeedPositions = func(map[string]affeed.Position) {}
	for name, c := range map[string]struct {
		handle  func(arbutusfork.Incarnation, []byte) (any, error)
		message any
	}{
		"rate that is no number":   {s.HandleVMReport, vmReport{Demand: []modelDemand{{Model: "m", RequestRate: math.NaN()}}}},
		"infinite rate":            {s.HandleVMReport, vmReport{Demand: []modelDemand{{Model: "m", PromptTokenRate: math.Inf(1)}}}},
		"negative count":           {s.HandleVMReport, vmReport{Demand: []modelDemand{{Model: "m", WaitingRequests: -1}}}},
		"wait that overflows":      {s.HandleVMReport, vmReport{Demand: []modelDemand{{Model: "m", LongestWaitMs: math.MaxInt64}}}},
		"view without a holder":    {s.HandlePlacementView, placementView{Epoch: 3, LeaseVersion: 7}},
		"view of no version":       {s.HandlePlacementView, placementView{Holder: "b", LeaseVersion: -1}},
		"view of a negative epoch": {s.HandlePlacementView, placementView{Holder: "b", Epoch: -1}},
		"order in the future":      {s.HandleHolderStop, holderStop{OrderAgesMs: map[string]int64{"i-1": -5000}}},
		"order age that overflows": {s.HandleHolderStop, holderStop{OrderAgesMs: map[string]int64{"i-1": math.MaxInt64}}},
		"successor in years":       {s.HandleHolderStop, holderStop{SuccessorDelayMs: 1 << 40}},
		"negative cost":            {s.HandleSpendRequest, spendRequest{Customer: "c", Cost: -9}},
		"of another type":          {s.HandleEndpointUpdate, 7},
	} {
		body, err := msgpack.Marshal(c.message)
		require.NoError(t, err)
		_, err = c.handle(arbutusfork.Incarnation{VM: "b"}, body)
		require.Error(t, err, name)
	}
}

// Guards against a relayed entry that names no endpoint and is used, and against an earlier entry that stays in use beside it.
func TestOddRelayedEntriesAreLeftOut(t *testing.T) {
	boot := time.Minute
	s := newHolderTestService(t, "a", &boot)
	sound := endpointEntry{ID: "i-1", Service: "app", Address: "127.0.0.1:80", Slots: 4, Born: 1}
	var entries []afengine.EndpointEntry
	var removed []string
	s.ApplyEndpoints = func(e []afengine.EndpointEntry, r []string, _ bool) { entries, removed = e, r }
	for name, change := range map[string]func(e *endpointEntry){
		"no service": func(e *endpointEntry) { e.Service = "" }, "no address": func(e *endpointEntry) { e.Address = "" }, "port 0": func(e *endpointEntry) { e.Address = "127.0.0.1:0" },
		"unknown state": func(e *endpointEntry) { e.State = 2 }, "slots": func(e *endpointEntry) { e.Slots = -1 }, "start": func(e *endpointEntry) { e.Born = -1 }, "time": func(e *endpointEntry) { e.LeavesMs = math.MaxInt64 },
	} {
		odd := sound
		odd.ID = "i-2"
		change(&odd)
		s.applyEndpointUpdate(endpointUpdate{Entries: []endpointEntry{sound, odd}})
		require.Equal(t, []afengine.EndpointEntry{sound.decode()}, entries, name)
		require.Equal(t, []string{"i-2"}, removed, name)
	}
}

// FuzzMessages guards against a panic for messages of other VMs that arrived spoilt, and for records of the lease that other
// writers stored.
func FuzzMessages(f *testing.F) {
	for i, m := range []any{
		vmReport{Demand: []modelDemand{{Model: "m"}}, Loads: map[string]endpointLoad{"i-1": {Requests: 1}}},
		placementView{Holder: "b", Epoch: 2, LeaseVersion: 3},
		endpointUpdate{Epoch: 1, Seq: 1, Entries: []endpointEntry{{ID: "i-1", Service: "app", Address: "127.0.0.1:80"}}},
		holderStop{Epoch: 1, OrderAgesMs: map[string]int64{"i-1": 5}},
		promiseMessage{Epoch: 1, ViewSeq: 1},
		spendRequest{Customer: "c", Cost: 3},
		map[string]limitGrantMessage{"c": {AvailableUnits: 5}},
	} {
		body, err := msgpack.Marshal(m)
		require.NoError(f, err)
		f.Add(uint8(i), body)
	}
	f.Add(uint8(7), []byte(`{"holder":"b","epoch":4,"beat":9}`))
	f.Fuzz(func(t *testing.T, kind uint8, body []byte) {
		boot := time.Minute
		s := newHolderTestService(t, "a", &boot)
		s.ApplyEndpoints = func(entries []afengine.EndpointEntry, _ []string, _ bool) {
			for _, e := range entries {
				require.NotEmpty(t, e.Service)
				require.NotEmpty(t, e.Address)
			}
		}
		from := arbutusfork.Incarnation{VM: "b"}
		switch kind % 8 {
		case 0:
			var m vmReport
			if msgpack.Unmarshal(body, &m) == nil && m.isSound() {
				for _, d := range m.Demand {
					require.GreaterOrEqual(t, d.decode().LongestWait, -maxMessageTime)
				}
			}
		case 1:
			var m placementView
			if msgpack.Unmarshal(body, &m) == nil && m.isSound() {
				require.NotEmpty(t, m.Holder)
			}
		case 2:
			var m endpointUpdate
			if msgpack.Unmarshal(body, &m) == nil {
				s.applyEndpointUpdate(m)
			}
		case 3:
			_, _ = s.HandleHolderStop(from, body) // Only a panic counts.
			for id, at := range s.lastOrdersAt {
				require.LessOrEqual(t, at, boot, id)
			}
		case 4:
			_, _ = s.HandlePromise(from, body)
		case 5:
			var m spendRequest
			_ = msgpack.Unmarshal(body, &m)
		case 6:
			var m map[string]limitGrantMessage
			if msgpack.Unmarshal(body, &m) == nil {
				for _, g := range decodeGrants(m) {
					require.GreaterOrEqual(t, g.RateFraction, 0.0)
					require.LessOrEqual(t, g.RateFraction, 1.0)
				}
			}
		case 7:
			if r, err := decodeLease(afobject.Object{Version: 5, Spec: body}, 3); err == nil {
				require.NotEmpty(t, r.Holder)
				require.GreaterOrEqual(t, r.Epoch, int64(0))
			}
		}
	})
}
