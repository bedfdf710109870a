package afkeeper

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error.
type ErrorKind int

// The kinds of errors.
const (
	// MalformedMessage means that a message could not be read.
	MalformedMessage ErrorKind = iota // malformed message
)

// Error tells which operation failed and why.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return "keeper " + e.Op + ": " + e.Kind.String() + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
