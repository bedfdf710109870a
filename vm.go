package arbutusfork

import "strconv"

//go:generate stringer -type=VMState -trimprefix=VM -output=vm_string.go

// VMState is a VM's state in the platform's list.
type VMState int

// The states of a VM. VMGone is the state of a VM that the platform no longer lists.
const (
	VMLive VMState = iota
	VMLeaving
	VMGone
)

// VM is one machine that accepts callers' requests, as the platform lists it.
type VM struct {
	Name string `json:"name"`
	// Address is the IP address and port of the VM's peer listener.
	Address string `json:"address"`
	// Centre names the VM's data centre.
	Centre string  `json:"centre"`
	State  VMState `json:"state"`
}

// Incarnation identifies one start of the daemon on a VM. Two starts never have the same incarnation.
type Incarnation struct {
	// VM is the name of the VM.
	VM string `json:"vm"    msgpack:"vm"`
	// StartID is the time of the start in nanoseconds since the Unix epoch, by the VM's clock.
	StartID int64 `json:"start" msgpack:"start"`
}

// String returns the VM's name and the start in the form used in logs.
func (i Incarnation) String() string {
	return i.VM + "/" + strconv.FormatInt(i.StartID, 36)
}

// IsZero reports whether the incarnation names no VM.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }
