// Package afplacement decides which model replicas are loaded on which endpoints, and keeps the record of the decisions.
//
// Decisions are pure functions: View.Step takes an immutable view, an event and the time, and returns the next view
// and the effects that the caller carries out.
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
	// RunningRequests is the number of running requests in the endpoint's last report.
	RunningRequests int `msgpack:"running" json:"Running"`
	// Credits are the slots that each VM may use. They add up to at most Slots over the endpoint.
	Credits map[string]int `msgpack:"credits,omitempty"`
}

// Credit returns the number of slots that the VM may use. Without credits, the slots are not divided and every VM may
// use all of them.
func (r Replica) Credit(vm string) int {
	if r.Credits == nil {
		return r.Slots
	}
	return r.Credits[vm]
}

// ReadyEstimate is the owner's estimate for a model that is being loaded or waits for a load.
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
	// Epoch is the owner's fencing number. A part replaces another one of the same shard only if (Epoch, Sequence) is
	// higher.
	Epoch int64 `msgpack:"epoch"`
	// Sequence counts the owner's publications within the epoch.
	Sequence  int64           `msgpack:"sequence"`
	Replicas  []Replica       `msgpack:"replicas"`
	Estimates []ReadyEstimate `msgpack:"estimates,omitempty"`
	// FilteredFor is the VM for which the part was filtered, or empty for a whole part. A filtered part is never passed
	// on to other VMs.
	FilteredFor string `msgpack:"vm,omitempty"`

	endpointRemoved bool // endpointRemoved means that Table.WithoutEndpoint removed replicas from the part.
}

// PartVersion orders the publications of a shard, by epoch and then by sequence. The zero value is below any publication.
type PartVersion struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // msgpack reads the option from the field of this name.

	Epoch, Sequence int64
}

// IsNewerThan reports whether v is a later publication than w.
func (v PartVersion) IsNewerThan(w PartVersion) bool {
	return v.Epoch > w.Epoch || v.Epoch == w.Epoch && v.Sequence > w.Sequence
}

// Version returns the version of the publication.
func (p TablePart) Version() PartVersion { return PartVersion{Epoch: p.Epoch, Sequence: p.Sequence} }

// EqualExceptRunning reports whether the parts are equal apart from sequences and counts of running requests.
func (p TablePart) EqualExceptRunning(q TablePart) bool {
	return p.EqualExceptCredits(q) && slices.EqualFunc(p.Replicas, q.Replicas, func(a, b Replica) bool {
		return maps.Equal(a.Credits, b.Credits)
	})
}

// Encode returns the part in msgpack form.
func (p TablePart) Encode() ([]byte, error) { return msgpack.Marshal(p) }

// DecodeTablePart decodes a part from its msgpack form.
func DecodeTablePart(b []byte) (TablePart, error) {
	var p TablePart
	err := msgpack.Unmarshal(b, &p)
	return p, err
}

// Table is the routing table of all shards in the versions that one VM has. It is immutable.
type Table struct {
	parts      map[string]TablePart
	replicas   map[string][]Replica
	readyTimes map[string]time.Duration
	endpoints  map[string]bool
}

// WithPart returns a table with the part, and whether the part was newer than the one it replaces. It returns the table
// unchanged for an older part.
func (t *Table) WithPart(p TablePart) (*Table, bool) {
	next := &Table{parts: make(map[string]TablePart)}
	if t != nil {
		if old, ok := t.parts[p.Shard]; ok && !p.Version().IsNewerThan(old.Version()) {
			return t, false
		}
		next.parts = maps.Clone(t.parts)
	}
	next.parts[p.Shard] = p
	next.rebuildIndex()
	return next, true
}

// WithoutEndpoint returns a table without the replicas of an endpoint that is unreachable or leaving. The owner's next
// publication replaces the changed part.
func (t *Table) WithoutEndpoint(endpoint string) *Table {
	if t == nil {
		return nil
	}
	next := &Table{parts: maps.Clone(t.parts)}
	for name, p := range next.parts {
		n := len(p.Replicas)
		p.Replicas = slices.DeleteFunc(slices.Clone(p.Replicas), func(r Replica) bool { return r.Endpoint == endpoint })
		p.endpointRemoved = p.endpointRemoved || len(p.Replicas) < n
		next.parts[name] = p
	}
	next.rebuildIndex()
	return next
}

// rebuildIndex derives the maps by model and endpoint from the parts.
func (t *Table) rebuildIndex() {
	t.replicas = make(map[string][]Replica)
	t.readyTimes = make(map[string]time.Duration)
	t.endpoints = make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(t.parts)) {
		for _, r := range t.parts[name].Replicas {
			t.replicas[r.Model] = append(t.replicas[r.Model], r)
			t.endpoints[r.Endpoint] = true
		}
		for _, e := range t.parts[name].Estimates {
			if d, ok := t.readyTimes[e.Model]; !ok || e.TimeToReady < d {
				t.readyTimes[e.Model] = e.TimeToReady
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

// HasEndpoint reports whether the table has a replica or a plain service at the endpoint.
func (t *Table) HasEndpoint(endpoint string) bool { return t != nil && t.endpoints[endpoint] }

// Models returns the names of models and plain services that have replicas, sorted.
func (t *Table) Models() []string {
	if t == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(t.replicas))
}

// TimeToReady returns the estimated time until the model can serve, if the owner has published an estimate.
func (t *Table) TimeToReady(model string) (time.Duration, bool) {
	if t == nil {
		return 0, false
	}
	d, ok := t.readyTimes[model]
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

// Versions returns the version of each shard's whole part. VMs compare these versions to detect missed publications.
// Filtered parts are left out, since other VMs cannot use them.
func (t *Table) Versions() map[string]PartVersion {
	out := make(map[string]PartVersion)
	if t != nil {
		for name, p := range t.parts {
			if p.FilteredFor == "" {
				out[name] = p.Version()
			}
		}
	}
	return out
}
