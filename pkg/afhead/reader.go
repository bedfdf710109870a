// Package afhead checks the heads of answers. net/http accepts some that HTTP/1.1 does not allow, so that an answer that was damaged on
// its way looks sound.
package afhead

import (
	"bytes"
	"io"
	"net/http"
	"strings"
)

// maxShownBytes is how many bytes of a malformed line an error shows. It is more than the part of a status line that is checked.
const maxShownBytes = 40

// statusLineStart is the form of the beginning of a status line, in which a 0 stands for any digit. A space or the end of the line follows.
const statusLineStart = "HTTP/1.0 000"

// position is the part of an answer to which the next byte belongs.
type position int

const (
	inStatusLine position = iota
	// inFieldName means at the beginning of a line or in the name of a field.
	inFieldName
	inFieldValue
	inBody
)

// Reader reads answers from a connection and fails where the head of one is malformed, so that this head never becomes complete. Interim
// (1xx) answers are checked too. The head of the first answer begins with the first byte.
//
// It shows the version of HTTP/1.0 answers as HTTP/1.1. net/http drops the Transfer-Encoding header of an HTTP/1.0 answer and takes
// the chunks for a body that ends with the connection, so that an answer that breaks off looks complete.
type Reader struct {
	Reader io.Reader

	position position
	// line holds the first bytes of the current line, of which lineLength bytes were read.
	line       [maxShownBytes]byte
	lineLength int
	// status is the status code of the latest status line.
	status int
	// lastByte is the byte before the next one.
	lastByte byte
	// hasCR means that the lines of the head end with CR and LF.
	hasCR bool
	// isOldVersion means that the version of the latest status line is HTTP/1.0.
	isOldVersion bool
	// err is the error of a malformed head. All later reads fail with it.
	err error
}

// Read reads from the reader. It returns an *Error if a head is malformed, after the lines before the malformed one. A malformed status line
// is returned too, since a head needs more than that.
func (r *Reader) Read(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.Reader.Read(b)
	return r.checkPart(b[:n], err)
}

// checkPart checks the bytes that were read with the error and returns what Read returns for them.
func (r *Reader) checkPart(b []byte, err error) (int, error) {
	lineStart := 0
	for i := 0; i < len(b) && r.position != inBody; i++ {
		isInStatusLine := r.position == inStatusLine
		b[i], r.err = r.check(b[i])
		switch {
		case r.err != nil && isInStatusLine:
			// A transport that gets no byte of an answer may send the request again.
			return i + firstLineLength(b[i:]), nil
		case r.err != nil && lineStart > 0:
			return lineStart, nil
		case r.err != nil:
			return 0, r.err
		case r.lineLength == 0:
			lineStart = i + 1
		}
	}
	return len(b), err
}

// firstLineLength returns the length of the first line of b with its end.
func firstLineLength(b []byte) int {
	if i := bytes.IndexByte(b, '\n'); i >= 0 {
		return i + 1
	}
	return len(b)
}

// IsOldVersion reports whether the latest answer has the version HTTP/1.0.
func (r *Reader) IsOldVersion() bool { return r.isOldVersion }

// check checks the next byte of a head and returns the byte in its place.
func (r *Reader) check(c byte) (byte, error) {
	i := r.lineLength
	if i < maxShownBytes {
		r.line[i] = c
	}
	r.lineLength++
	var err error
	switch r.position {
	case inStatusLine:
		c, err = r.checkStatusLine(i, c)
	case inFieldName:
		err = r.checkFieldName(i, c)
	case inFieldValue:
		if c == '\n' {
			err = r.endFieldLine()
		}
	case inBody:
	}
	r.lastByte = c
	return c, err
}

// checkStatusLine checks the byte at an index of a status line.
func (r *Reader) checkStatusLine(i int, c byte) (byte, error) {
	const minorIndex, firstDigit = len("HTTP/1."), len("HTTP/1.0 ")
	switch {
	case i > len(statusLineStart):
	case i == len(statusLineStart):
		if c != ' ' && c != '\r' && c != '\n' {
			return c, r.newError(StatusLine)
		}
	case statusLineStart[i] == '0':
		if c < '0' || c > '9' {
			return c, r.newError(StatusLine)
		}
		if i >= firstDigit {
			r.status = r.status*10 + int(c-'0')
		}
	case statusLineStart[i] != c:
		return c, r.newError(StatusLine)
	}
	switch {
	case i == minorIndex:
		r.status, r.isOldVersion = 0, c == '0'
		if r.isOldVersion {
			c = '1'
		}
	case i == len(statusLineStart)-1 && !isValidStatus(r.status):
		return c, r.newError(StatusCode)
	case c == '\n':
		r.hasCR = r.lastByte == '\r'
		r.position, r.lineLength = inFieldName, 0
	}
	return c, nil
}

// checkFieldName checks the byte at an index of a line that is in the name of a field or ends the head. A line that begins with a blank is
// malformed, although it may continue the value before it in an old form: after damage to a name it would hide that field.
func (r *Reader) checkFieldName(i int, c byte) error {
	isAfterCR := r.lastByte == '\r'
	switch {
	case c == '\n' && (i == 0 || isAfterCR):
		if isAfterCR != r.hasCR {
			return r.newError(LineEnd)
		}
		r.position, r.lineLength = inBody, 0
		if isInterim(r.status) {
			r.position = inStatusLine
		}
	case c == '\r' && i == 0:
	case c == ':' && i > 0 && !isAfterCR:
		r.position = inFieldValue
	case !isTokenByte(c) || isAfterCR:
		return r.newError(FieldName)
	}
	return nil
}

// endFieldLine ends a line with a field. A line whose end differs from that of the status line may be a part of one whose name contains a
// line feed, which would end the head early.
func (r *Reader) endFieldLine() error {
	if (r.lastByte == '\r') != r.hasCR {
		return r.newError(LineEnd)
	}
	r.position, r.lineLength = inFieldName, 0
	return nil
}

// newError returns the error of the current line.
func (r *Reader) newError(kind ErrorKind) error {
	return &Error{Op: "read head", Kind: kind, Text: string(r.line[:min(r.lineLength, maxShownBytes)])}
}

// isValidStatus reports whether an answer may have the status. No request asks to switch protocols.
func isValidStatus(status int) bool {
	return status >= http.StatusContinue && status <= 599 && status != http.StatusSwitchingProtocols
}

// isInterim reports whether the status is that of an interim answer.
func isInterim(status int) bool { return status < http.StatusOK }

// isTokenByte reports whether the name of a field may contain the byte.
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
