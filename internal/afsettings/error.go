package afsettings

import (
	"strings"

	"github.com/go-faster/errors"
)

//go:generate stringer -type=ErrorKind -linecomment -output=error_string.go

// ErrorKind classifies an error of this package.
type ErrorKind int

// The kinds of errors.
const (
	InvalidSettings ErrorKind = iota // invalid settings
)

// Error lists every fault of the settings.
type Error struct {
	Op     string
	Kind   ErrorKind
	Faults []string
}

// Error returns one line per fault after the operation and the kind.
func (e *Error) Error() string {
	return e.Op + ": " + e.Kind.String() + ":\n  " + strings.Join(e.Faults, "\n  ")
}

// IsKind reports whether err is an Error of the kind.
func IsKind(err error, kind ErrorKind) bool {
	e, ok := errors.Into[*Error](err)
	return ok && e.Kind == kind
}
