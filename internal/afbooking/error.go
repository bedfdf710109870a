package afbooking

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies the errors of this package.
type ErrorKind int

// The kinds of errors.
const (
	MalformedRecord ErrorKind = iota // malformed record
	StaleRecord                      // record older than one seen before
	UnknownVMs                       // other VMs not known yet
)

// Error is a failed operation on a claim record, with its cause.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "claims " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
