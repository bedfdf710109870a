// Package afplacement decides which replicas of which models are loaded where, and keeps the record of it.
//
// Decisions are pure: View.Step takes an immutable view, an event and the time, and returns the next view and
// the effects that its caller carries out.
package afplacement

import (
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"arbutusfork.example/arbutusfork"
)

// Replica is a loaded copy of a model that requests may be sent to.
type Replica struct {
	Model    string `msgpack:"model"`
	Endpoint string `msgpack:"endpoint"`
	Address  string `msgpack:"address"`
	Centre   string `msgpack:"centre"`
	// Slots is the number of requests that the endpoint runs at once, over all VMs and models.
	Slots int `msgpack:"slots"`
	// RunningRequests is the endpoint's own report of running requests and lags behind.
	RunningRequests int `msgpack:"running"`
	// Credits are the slots that each VM may use. Their sum over the endpoint is at most Slots.
	Credits map[string]int `msgpack:"credits,omitempty"`
}

// Credit returns the number of slots that the VM may use. A replica without credits is not shared out and
// offers all its slots to every VM.
func (r Replica) Credit(vm string) int {
	if r.Credits == nil {
		return r.Slots
	}
	return r.Credits[vm]
}

// ReadyEstimate is the owner's forecast for a model that is being loaded or queued for loading.
type ReadyEstimate struct {
	Model string `msgpack:"model"`
	// TimeToReady is the remaining time until a replica can serve.
	TimeToReady time.Duration `msgpack:"ready"`
}

// TablePart is one shard's part of the routing table, as its owner publishes it.
type TablePart struct {
	Shard   string                  `msgpack:"shard"`
	Service string                  `msgpack:"service"`
	Owner   arbutusfork.Incarnation `msgpack:"owner"`
	// Epoch is the owner's fencing number and Sequence counts its publications. A part replaces another one of the
	// same shard only if (Epoch, Sequence) is higher.
	Epoch     int64           `msgpack:"epoch"`
	Sequence  int64           `msgpack:"sequence"`
	Replicas  []Replica       `msgpack:"replicas"`
	Estimates []ReadyEstimate `msgpack:"estimates,omitempty"`
	// FilteredFor is the VM for which the part was filtered. A filtered part is never passed on. Empty means the whole part.
	FilteredFor string `msgpack:"vm,omitempty"`

	cut bool // cut tells that an endpoint was taken out of the part here.
}

// digestShift leaves room for 2^32 publications of one owner, which is 13 years at ten a second.
const digestShift = 32

// Digest returns one number that orders the publications of a shard.
func (p TablePart) Digest() int64 { return p.Epoch<<digestShift | p.Sequence }

// EqualExceptRunning reports whether the part says the same as the other one, apart from its sequence and running counts.
func (p TablePart) EqualExceptRunning(q TablePart) bool {
	return p.EqualExceptCredits(q) && slices.EqualFunc(p.Replicas, q.Replicas, func(a, b Replica) bool {
		return maps.Equal(a.Credits, b.Credits)
	})
}

// Encode returns the msgpack form of the part.
func (p TablePart) Encode() ([]byte, error) { return msgpack.Marshal(p) }

// DecodeTablePart reads the msgpack form of a part.
func DecodeTablePart(b []byte) (TablePart, error) {
	var p TablePart
	err := msgpack.Unmarshal(b, &p)
	return p, err
}

// Table is the routing table of all shards as one VM knows it. It is immutable.
type Table struct {
	parts     map[string]TablePart
	replicas  map[string][]Replica
	estimates map[string]time.Duration
	endpoints map[string]bool
}

// WithPart returns a table with the part, and whether the part was newer than the one that it replaces.
func (t *Table) WithPart(p TablePart) (*Table, bool) {
	next := &Table{parts: make(map[string]TablePart)}
	if t != nil {
		if old, ok := t.parts[p.Shard]; ok && old.Digest() >= p.Digest() {
			return t, false
		}
		next.parts = maps.Clone(t.parts)
	}
	next.parts[p.Shard] = p
	next.index()
	return next, true
}

// WithoutEndpoint returns a table without the replicas of an endpoint, which were found to be gone or leaving. The next
// publication of the owner replaces the correction.
func (t *Table) WithoutEndpoint(endpoint string) *Table {
	if t == nil {
		return nil
	}
	next := &Table{parts: maps.Clone(t.parts)}
	for name, p := range next.parts {
		n := len(p.Replicas)
		p.Replicas = slices.DeleteFunc(slices.Clone(p.Replicas), func(r Replica) bool { return r.Endpoint == endpoint })
		p.cut = p.cut || len(p.Replicas) < n
		next.parts[name] = p
	}
	next.index()
	return next
}

func (t *Table) index() {
	t.replicas = make(map[string][]Replica)
	t.estimates = make(map[string]time.Duration)
	t.endpoints = make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(t.parts)) {
		for _, r := range t.parts[name].Replicas {
			t.replicas[r.Model] = append(t.replicas[r.Model], r)
			t.endpoints[r.Endpoint] = true
		}
		for _, e := range t.parts[name].Estimates {
			if d, ok := t.estimates[e.Model]; !ok || e.TimeToReady < d {
				t.estimates[e.Model] = e.TimeToReady
			}
		}
	}
}

// Replicas returns the loaded replicas of the model or adapter, or the endpoints of a plain service of that name.
func (t *Table) Replicas(model string) []Replica {
	if t == nil {
		return nil
	}
	return t.replicas[model]
}

// HasEndpoint reports whether a replica or plain service at the endpoint is in the table.
func (t *Table) HasEndpoint(endpoint string) bool { return t != nil && t.endpoints[endpoint] }

// Models returns the names that have replicas, in order.
func (t *Table) Models() []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.replicas))
}

// TimeToReady returns the estimated time until the model can serve, if the owner has published one.
func (t *Table) TimeToReady(model string) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	d, ok := t.estimates[model]
	return d, ok
}

// Part returns the part of a shard.
func (t *Table) Part(shard string) (TablePart, bool) {
	if t == nil {
		return TablePart{}, false
	}
	p, ok := t.parts[shard]
	return p, ok
}

// Digests returns the digest of each shard's whole part, by which VMs find out that they missed a publication. Filtered
// parts are of no use to others.
func (t *Table) Digests() map[string]int64 {
	out := make(map[string]int64)
	if t != nil {
		for name, p := range t.parts {
			if p.FilteredFor == "" {
				out[name] = p.Digest()
			}
		}
	}
	return out
}
