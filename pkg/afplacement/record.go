package afplacement

import (
	"slices"

	"arbutusfork.example/arbutusfork"
)

//go:generate stringer -type=Verb,AssignmentState,OrderState -linecomment -output=record_string.go

// Verb is what an order asks of an endpoint.
type Verb int

// The verbs of orders.
const (
	VerbLoad   Verb = iota // load
	VerbUnload             // unload
)

// AssignmentState is the state of an assignment in the record.
type AssignmentState int

// The states of assignments. Each of them occupies memory and a replica slot.
const (
	AssignmentLoading   AssignmentState = iota // loading
	AssignmentLoaded                           // loaded
	AssignmentUnloading                        // unloading
)

// OrderState is the state of an order in the record. That an order was sent is known only to its sender, so that
// everybody else treats a recorded order as one that may still be sent.
type OrderState int

// The phases of an order.
const (
	OrderRecorded  OrderState = iota // recorded
	OrderDone                        // done
	OrderCancelled                   // cancelled
)

// Assignment charges an endpoint with a model or adapter.
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

// Record is the spec of a shard object. It is immutable; With methods return changed copies.
type Record struct {
	// Owner is zero when the shard was released.
	Owner arbutusfork.Incarnation `json:"owner"`
	// Fence rises by one at each take-over and never falls.
	Fence int64 `json:"fence"`
	// LeaseTermMillis is the lease term in milliseconds.
	LeaseTermMillis int64 `json:"term"`
	// CommitCount rises with each commit, so that a renewal changes the object.
	CommitCount int64 `json:"beat"`
	// NextOrderID is the ID of the next order.
	NextOrderID int64        `json:"next"`
	Assignments []Assignment `json:"assignments,omitempty"`
	Orders      []Order      `json:"orders,omitempty"`
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

// WithAssignment returns a copy in which the assignment replaces one of the same endpoint and model.
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

// WithoutAssignment returns a copy in which the endpoint is no longer charged with the model.
func (r Record) WithoutAssignment(endpoint, model string) Record {
	r.Assignments = slices.DeleteFunc(slices.Clone(r.Assignments), func(a Assignment) bool {
		return a.Endpoint == endpoint && a.Model == model
	})
	return r
}

// WithOrder returns a copy with a new order for the assignment under the record's owner and fence.
func (r Record) WithOrder(verb Verb, a Assignment) Record {
	r.Orders = append(slices.Clone(r.Orders), Order{
		ID: r.NextOrderID, Verb: verb, Endpoint: a.Endpoint, Model: a.Model, Memory: a.Memory,
		Sender: r.Owner, Fence: r.Fence, State: OrderRecorded,
	})
	r.NextOrderID++
	return r
}

// WithOrderState returns a copy in which the order has another state.
func (r Record) WithOrderState(id int64, phase OrderState) Record {
	r.Orders = slices.Clone(r.Orders)
	for i := range r.Orders {
		if r.Orders[i].ID == id {
			r.Orders[i].State = phase
		}
	}
	return r
}

// WithOwner returns a copy that the new owner holds under the next fencing number.
func (r Record) WithOwner(owner arbutusfork.Incarnation) Record {
	r.Owner = owner
	r.Fence++
	return r
}

// ReplicaCount counts the model's replicas in every state.
func (r Record) ReplicaCount(model string) int {
	n := 0
	for _, a := range r.Assignments {
		if a.Model == model {
			n++
		}
	}
	return n
}

// own reports whether the order was recorded by the present owner under the present fence.
func (r Record) own(o Order) bool {
	return o.Sender == r.Owner && o.Fence == r.Fence
}

// order returns the order with that ID.
func (r Record) order(id int64) (Order, bool) {
	for _, o := range r.Orders {
		if o.ID == id {
			return o, true
		}
	}
	return Order{}, false
}
