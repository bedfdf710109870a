package afcrash

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
)

// Guards against a quarantine of another VM or of the stored note that names no prompts, or ends in the far future.
func TestOddQuarantinesAreLeftOut(t *testing.T) {
	f := newFleet(1, 1)
	s := f.services[0]
	body, err := msgpack.Marshal(factsMessage{
		Crashes:     []crashMessage{{Suspects: []suspectMessage{{Parts: []string{"p"}}}}},
		Quarantines: []quarantineMessage{{Service: "app", RemainingMs: 9000}, {Service: "app", Parts: []string{""}, RemainingMs: 9000}, {Parts: []string{"p"}, RemainingMs: 9000}, {Service: "app", Parts: []string{"late"}, RemainingMs: math.MaxInt64}},
	})
	require.NoError(t, err)
	_, err = s.HandleFacts(arbutusfork.Incarnation{VM: "b"}, body)
	require.NoError(t, err)
	require.Empty(t, s.State().Crashes())
	require.Empty(t, s.State().Quarantines())
	s = newFleet(1, 1).services[0]
	require.NoError(t, s.ApplyNote(`[{"service":"app","until":9000000000000000},{"service":"app","parts":["p"],"until":9000000000000000},{"parts":["p"],"until":9000000000}]`))
	require.Empty(t, s.State().Quarantines())
	require.Error(t, s.ApplyNote(`{"service":7}`))
}

// FuzzFacts guards against a panic for messages of other VMs and stored notes that arrived spoilt, and against quarantines that
// name no prompts.
func FuzzFacts(f *testing.F) {
	body, err := msgpack.Marshal(factsMessage{Quarantines: []quarantineMessage{{Service: "app", Parts: []string{"p"}, RemainingMs: 9000}}, Crashes: []crashMessage{{Service: "app", Endpoint: "i-1"}}})
	require.NoError(f, err)
	f.Add(body)
	f.Add([]byte(`[{"service":"app","parts":["p"],"since":1000,"until":1010}]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		fleet := newFleet(1, 1)
		s := fleet.services[0]
		_, _ = s.HandleFacts(arbutusfork.Incarnation{VM: "b"}, body) // Only a panic and the quarantines count.
		_ = s.ApplyNote(string(body))
		for _, q := range s.State().Quarantines() {
			require.True(t, isQuarantine(q.Service, q.Parts, q.Until.Sub(fleet.now)))
		}
	})
}
