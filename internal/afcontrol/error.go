package afcontrol

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	// MalformedMessage means that a message or an answer could not be decoded.
	MalformedMessage ErrorKind = iota // malformed message
	// EndpointUnreachable means that an endpoint or VM did not answer.
	EndpointUnreachable // endpoint unreachable
	// ServiceEnded means that Run has returned or the caller's context has ended.
	ServiceEnded // service ended
	// UnknownShard means that this VM has no whole part of the shard.
	UnknownShard // unknown shard
)

// Error describes a failed operation with its kind and cause.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	s := "placement " + e.Op + ": " + e.Kind.String()
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
