package afconfig

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// MalformedObject means that the Spec of an object could not be decoded.
	MalformedObject ErrorKind = iota // malformed object
)

// Error is an error of this package.
type Error struct {
	// Op is the operation that failed.
	Op   string
	Kind ErrorKind
	// Err is the cause. It may be nil.
	Err error
}

// Error returns the operation, the kind and the cause as one line.
func (e *Error) Error() string {
	s := "configuration " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
