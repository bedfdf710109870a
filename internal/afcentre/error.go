package afcentre

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind is the kind of an Error.
type ErrorKind int

// The kinds of errors.
const (
	// MalformedMessage means that the state in a message could not be decoded or has values that no VM sends.
	MalformedMessage ErrorKind = iota // malformed message
)

// Error describes a failed operation.
type Error struct {
	// Op names the operation.
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "evacuations " + e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
