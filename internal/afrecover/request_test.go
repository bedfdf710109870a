package afrecover

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// A stream that ends normally before its end marker, or without all of its text, must not count as answered.
func TestReadStreamNeedsEndAndText(t *testing.T) {
	first := `data: {"choices":[{"delta":{"content":"t0 "}}]}` + "\n\n"
	second := `data: {"choices":[{"delta":{"content":"t1 "}}]}` + "\n\n"
	usage := `data: {"choices":[],"usage":{"total_tokens":9}}` + "\n\n"
	failure := `data: {"error":{"message":"withdrawn","code":"key_withdrawn","outcome":"unknown"}}` + "\n\n"
	done := "data: [DONE]\n\n"
	for _, c := range []struct {
		name, body string
		want       Result
		tokens     int64
	}{
		{"whole", first + second + usage + done, ResultAnswered, 9},
		{"no end marker", first + second, ResultTruncated, 2},
		{"text missing", first + usage + done, ResultTruncated, 9},
		{"text out of order", second + first + done, ResultTruncated, 2},
		{"error event", first + failure, ResultEnded, 1},
	} {
		s := Sample{Status: http.StatusOK}
		request{tokens: 2}.readStream(strings.NewReader(c.body), &s)
		assert.Equal(t, c.want, s.Result, c.name)
		assert.Equal(t, c.tokens, s.Tokens, c.name)
	}
}
