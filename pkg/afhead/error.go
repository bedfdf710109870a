package afhead

import "strconv"

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind says which part of a head is malformed.
type ErrorKind int

// The kinds of errors.
const (
	// StatusLine means that a status line names another protocol than HTTP/1 or has no status code of three digits.
	StatusLine ErrorKind = iota // malformed status line
	// StatusCode means that a status code is outside of 100 to 599, or 101, which only answers a request to switch protocols.
	StatusCode // invalid status code
	// FieldName means that the name of a field is empty or contains a byte that names cannot have, or that a line has no name.
	FieldName // malformed field name
	// LineEnd means that some lines of a head end with CR and LF and others with LF alone.
	LineEnd // malformed end of a line
)

// Error describes what is malformed in an answer.
type Error struct {
	// Op is the operation that failed, such as "read head".
	Op string
	// Kind says which part is malformed.
	Kind ErrorKind
	// Text is the malformed part, or its beginning if it is long.
	Text string
}

// Error returns the operation, the kind and the text.
func (e *Error) Error() string { return e.Op + ": " + e.Kind.String() + " " + strconv.Quote(e.Text) }
