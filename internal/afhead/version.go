// Package afhead reads the heads of endpoints' answers.
package afhead

import "io"

// oldVersion begins the status line of an answer with HTTP/1.0.
const oldVersion = "HTTP/1.0"

// VersionReader reads the bytes of a connection and shows the version of its first answer as HTTP/1.1 if it is HTTP/1.0.
// net/http drops the Transfer-Encoding header of an HTTP/1.0 answer and takes the chunks for a body that ends with the
// connection, so that an answer that breaks off looks complete. The first answer is all that an HTTP/1.0 connection carries.
type VersionReader struct {
	Reader io.Reader
	// matchedBytes is how many bytes were read while all of them were those of oldVersion. It is negative after any other byte.
	matchedBytes int
}

// Read reads from the reader.
func (v *VersionReader) Read(b []byte) (int, error) {
	n, err := v.Reader.Read(b)
	for i := 0; i < n && v.matchedBytes >= 0 && v.matchedBytes < len(oldVersion); i++ {
		if b[i] != oldVersion[v.matchedBytes] {
			v.matchedBytes = -1
			break
		}
		if v.matchedBytes++; v.matchedBytes == len(oldVersion) {
			b[i] = '1'
		}
	}
	return n, err
}

// IsOldVersion reports whether the connection answered with HTTP/1.0.
func (v *VersionReader) IsOldVersion() bool { return v.matchedBytes == len(oldVersion) }
