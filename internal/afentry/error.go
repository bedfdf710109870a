package afentry

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	OperationUnavailable ErrorKind = iota // not usable
	CallerDisconnected                    // caller hung up
	KeyWithdrawn                          // key withdrawn
	StaleConfig                           // configuration stale
)

// Error tells which operation failed and why.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "entry " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
