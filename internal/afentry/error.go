package afentry

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// OperationUnavailable means that the server could not start, or that a response cannot be a stream.
	OperationUnavailable ErrorKind = iota // not usable
	// CallerDisconnected means that the caller closed its connection, or that the server closed it.
	CallerDisconnected // caller hung up
	// KeyWithdrawn means that the key of a running request became invalid.
	KeyWithdrawn // key withdrawn
	// StaleConfig means that the configuration was too old to check the key of a running request.
	StaleConfig // configuration stale
)

// Error is a failed operation of the server, with its cause.
type Error struct {
	// Op names the operation.
	Op   string
	Kind ErrorKind
	// Err is the cause, or nil.
	Err error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "caller API: " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
