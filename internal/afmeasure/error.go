package afmeasure

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	LimitExceeded ErrorKind = iota // limit exceeded
)

// Error is a failed measurement. Op names the measurement.
type Error struct {
	Op   string
	Kind ErrorKind
}

// Error returns the operation and the kind.
func (e *Error) Error() string { return e.Op + ": " + e.Kind.String() }
