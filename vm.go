package arbutusfork

import "strconv"

//go:generate stringer -type=VMState -trimprefix=VM -output=vm_string.go

// VMState is a VM's state in the platform's list.
type VMState int

// The states of a VM. A VM that the list no longer names is VMGone.
const (
	VMLive VMState = iota
	VMLeaving
	VMGone
)

// VM is one entry VM.
type VM struct {
	Name string `json:"name"`
	// Address is the IP address and port of the VM's peer listener.
	Address string  `json:"address"`
	Centre  string  `json:"centre"`
	State   VMState `json:"state"`
}

// Incarnation names one start of the daemon on a VM. Two starts on the same VM never share one.
type Incarnation struct {
	VM      string `json:"vm"    msgpack:"vm"`
	StartID int64  `json:"start" msgpack:"start"`
}

// String returns the form used in logs.
func (i Incarnation) String() string {
	return i.VM + "/" + strconv.FormatInt(i.StartID, 36)
}

// IsZero reports whether the incarnation names no VM.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }
