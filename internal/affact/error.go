package affact

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind is the kind of an Error.
type ErrorKind int

// The kinds of errors.
const (
	// MalformedMessage means that a message could not be decoded.
	MalformedMessage ErrorKind = iota // malformed message
	// UnknownEndpoint means that an endpoint is not listed and said nothing.
	UnknownEndpoint // unknown endpoint
	// NoSuchNotice means that no notice of a kind about an endpoint is in force.
	NoSuchNotice // no such notice
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
	return "fact " + e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
