package afserve

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// ComponentFailed means that a component of the daemon could not start or ended with an error.
	ComponentFailed ErrorKind = iota // failed
)

// Error is a failed operation of the daemon, with its cause.
type Error struct {
	// Op names the operation and the component.
	Op   string
	Kind ErrorKind
	// Err is the cause, or nil.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
