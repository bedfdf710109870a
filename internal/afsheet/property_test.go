package afsheet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
)

// TestRoundTrip guards against a sheet that changes when it is shown and accepted again.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s arbutusfork.DemandSheet
		for _, model := range []string{"chat-8b", "chat-8b:a", "chat-8b:\"b\",c"} {
			from := 0
			for range rapid.IntRange(0, 4).Draw(t, "rows") {
				from += rapid.IntRange(0, 60).Draw(t, "gap")
				until := from + rapid.IntRange(1, 300).Draw(t, "length")
				s.Rows = append(s.Rows, arbutusfork.DemandSheetRow{
					Model: model, Customer: "nile", StartMinute: from, EndMinute: until,
					RequestsPerHour:  rapid.Float64Range(0, maxRequests).Draw(t, "requests"),
					TokensPerRequest: rapid.Int64Range(1, maxTokens).Draw(t, "tokens"),
				})
				from = until
			}
		}
		got, faults := ParseCSV(FormatCSV(s), catalogue)
		require.Empty(t, faults)
		require.Empty(t, DiffSheets(s, got))
	})
}

// TestArbitraryText guards against a panic, and against a fault without a place.
func TestArbitraryText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("ab,\"\n\r 0:é\ufeff"))).Draw(t, "text")
		for _, head := range []string{"", "model,customer,from,until,requests,tokens\n"} {
			_, faults := ParseCSV([]byte(head+text), catalogue)
			for _, f := range faults {
				require.Positive(t, f.Line)
				require.Positive(t, f.Column)
			}
		}
	})
}
