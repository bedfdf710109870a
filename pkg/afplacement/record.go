package afplacement

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=Verb,AssignmentState,OrderState -linecomment -output=record_string.go

// Verb is the action that an order requests from an endpoint.
type Verb int

// The verbs of orders.
const (
	VerbLoad   Verb = iota // load
	VerbUnload             // unload
)

// AssignmentState is the state of an assignment in the record.
type AssignmentState int

// The states of an assignment. In each of them, the assignment charges memory and counts towards the replica limit.
const (
	AssignmentLoading   AssignmentState = iota // loading
	AssignmentLoaded                           // loaded
	AssignmentUnloading                        // unloading
)

// OrderState is the state of an order in the record. The record does not show whether an order was sent: only its
// sender knows, and all other VMs must assume that a recorded order may still be sent.
type OrderState int

// The states of an order.
const (
	OrderRecorded  OrderState = iota // recorded
	OrderDone                        // done
	OrderCancelled                   // cancelled
)

// Assignment charges an endpoint's memory with a model or adapter.
type Assignment struct {
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	// Memory is the charge in MB.
	Memory int64           `json:"memory"`
	State  AssignmentState `json:"state"`
}

// Order is an instruction to an endpoint. It is recorded before it is sent.
type Order struct {
	// ID is unique within the shard.
	ID       int64  `json:"id"`
	Verb     Verb   `json:"verb"`
	Endpoint string `json:"endpoint"`
	Model    string `json:"model"`
	// Memory is the charge in MB that the order can create.
	Memory int64                   `json:"memory"`
	Sender arbutusfork.Incarnation `json:"sender"`
	Fence  int64                   `json:"fence"`
	State  OrderState              `json:"state"`
}

// Record is the spec of a shard object. It is immutable; the With methods return changed copies.
type Record struct {
	// Owner is the incarnation that owns the shard. It is zero after a release.
	Owner arbutusfork.Incarnation `json:"owner"`
	// Fence is the fencing number. It rises at each take-over and never falls. Its era, as of an afversion version, is that in
	// which it was given out.
	Fence int64 `json:"fence"`
	// LeaseTermMillis is the term of the owner's lease in milliseconds.
	LeaseTermMillis int64 `json:"term"`
	// CommitCount rises with each commit, so that a renewal of the lease changes the object.
	CommitCount int64 `json:"beat"`
	// NextOrderID is the ID of the next order.
	NextOrderID int64        `json:"next"`
	Assignments []Assignment `json:"assignments,omitempty"`
	Orders      []Order      `json:"orders,omitempty"`
	// Unobserved are the endpoints that may hold models of records that the store has lost, in order of name. Each counts as
	// a replica of every model.
	Unobserved []string `json:"unobserved,omitempty"`
	// IsFirst means that the shard had no record, which is usually a new shard's. An unobserved endpoint that does not answer is
	// given up then; otherwise it counts until it reports or is removed from the configuration.
	IsFirst bool `json:"first,omitempty"`
}

// Assignment returns the assignment of the model on the endpoint.
func (r Record) Assignment(endpoint, model string) (Assignment, bool) {
	for _, a := range r.Assignments {
		if a.Endpoint == endpoint && a.Model == model {
			return a, true
		}
	}
	return Assignment{}, false
}

// WithAssignment returns a copy with the assignment, which replaces an existing one of the same endpoint and model.
func (r Record) WithAssignment(a Assignment) Record {
	r.Assignments = slices.Clone(r.Assignments)
	for i, b := range r.Assignments {
		if b.Endpoint == a.Endpoint && b.Model == a.Model {
			r.Assignments[i] = a
			return r
		}
	}
	r.Assignments = append(r.Assignments, a)
	return r
}

// WithoutAssignment returns a copy without the assignment of the model on the endpoint.
func (r Record) WithoutAssignment(endpoint, model string) Record {
	r.Assignments = slices.DeleteFunc(slices.Clone(r.Assignments), func(a Assignment) bool {
		return a.Endpoint == endpoint && a.Model == model
	})
	return r
}

// WithOrder returns a copy with a new order for the assignment, sent by the record's owner under its fence.
func (r Record) WithOrder(verb Verb, a Assignment) Record {
	r.Orders = append(slices.Clone(r.Orders), Order{
		ID: r.NextOrderID, Verb: verb, Endpoint: a.Endpoint, Model: a.Model, Memory: a.Memory,
		Sender: r.Owner, Fence: r.Fence, State: OrderRecorded,
	})
	r.NextOrderID++
	return r
}

// WithOrderState returns a copy in which the order has the state.
func (r Record) WithOrderState(id int64, phase OrderState) Record {
	r.Orders = slices.Clone(r.Orders)
	for i := range r.Orders {
		if r.Orders[i].ID == id {
			r.Orders[i].State = phase
		}
	}
	return r
}

// WithOwner returns a copy with the new owner and the next fencing number.
func (r Record) WithOwner(owner arbutusfork.Incarnation) Record {
	r.Owner = owner
	r.Fence++
	return r
}

// ReplicaCount returns the number of the model's replicas in every state.
func (r Record) ReplicaCount(model string) int {
	n := 0
	for _, a := range r.Assignments {
		if a.Model == model {
			n++
		}
	}
	return n
}

// isOwnOrder reports whether the current owner recorded the order under the current fence.
func (r Record) isOwnOrder(o Order) bool {
	return o.Sender == r.Owner && o.Fence == r.Fence
}

// orderByID returns the order with the ID.
func (r Record) orderByID(id int64) (Order, bool) {
	for _, o := range r.Orders {
		if o.ID == id {
			return o, true
		}
	}
	return Order{}, false
}
