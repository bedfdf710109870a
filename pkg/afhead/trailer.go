package afhead

import (
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// CheckTrailer lets the reading of the answer's body fail with an *Error at its end if the trailer section has a field with a malformed
// name, since such an answer is not whole. It is called before the body is read.
func CheckTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, response: resp}
	}
}

// trailerChecker is the body of an answer that may have a trailer section.
type trailerChecker struct {
	io.ReadCloser
	// response has the trailer when its body has been read.
	response *http.Response
}

// Read reads from the body.
func (t *trailerChecker) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b)
	if errors.Is(err, io.EOF) {
		if fieldErr := checkFieldNames("read trailer", t.response.Trailer); fieldErr != nil {
			return n, fieldErr
		}
	}
	return n, err
}

// checkFieldNames returns an *Error if a field has a malformed name.
func checkFieldNames(op string, h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !isToken(name) { // Fields without values were only announced.
			return &Error{Op: op, Kind: FieldName, Text: name[:min(len(name), maxShownBytes)]}
		}
	}
	return nil
}

// isToken reports whether the name of a field may be the text.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}
