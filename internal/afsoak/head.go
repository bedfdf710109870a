package afsoak

import (
	"bytes"
	"net/http"
	"slices"
	"strings"
)

// damageHead returns the beginning of an answer with another status or with a byte more in the name of a field, so that its head is
// malformed. N chooses the damage.
func damageHead(answer []byte, n int) []byte {
	head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	lineCount := bytes.Count(head, []byte("\r\n")) + 1
	start := 0
	for range n % lineCount {
		start += bytes.Index(answer[start:], []byte("\r\n")) + len("\r\n")
	}
	if start == 0 {
		const statusIndex = len("HTTP/1.1 ")
		damaged := slices.Clone(answer)
		copy(damaged[min(statusIndex, len(damaged)):], "000")
		return damaged
	}
	nameBytes := max(bytes.IndexByte(answer[start:], ':'), 0)
	n /= lineCount
	odd := []byte{' ', '\t', '\n', 0x01}[n%4]
	return slices.Insert(slices.Clone(answer), start+n/4%(nameBytes+1), odd)
}

// malformedPart returns the status or the name of a field that HTTP/1.1 does not allow, or an empty text.
func malformedPart(resp *http.Response) string {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > 599 {
		return resp.Status
	}
	for name := range resp.Header {
		if strings.Contains(name, " ") { // net/http refuses all other bytes.
			return name
		}
	}
	return ""
}
