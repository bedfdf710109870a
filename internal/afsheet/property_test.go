package afsheet

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"arbutusfork.example/arbutusfork"
)

// TestFormatAndParseRoundTrip guards against a sheet that changes when it is formatted as CSV and parsed again.
func TestFormatAndParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s arbutusfork.DemandSheet
		for _, model := range []string{"chat-8b", "chat-8b:a", "chat-8b:\"b\",c"} {
			startMinute := 0
			for range rapid.IntRange(0, 4).Draw(t, "rows") {
				startMinute += rapid.IntRange(0, 60).Draw(t, "gap")
				endMinute := startMinute + rapid.IntRange(1, 300).Draw(t, "length")
				s.Rows = append(s.Rows, arbutusfork.DemandSheetRow{
					Model: model, Customer: "nile", StartMinute: startMinute, EndMinute: endMinute,
					RequestsPerHour:  rapid.Float64Range(0, maxRequestsPerHour).Draw(t, "requests"),
					TokensPerRequest: rapid.Int64Range(1, maxTokensPerRequest).Draw(t, "tokens"),
				})
				startMinute = endMinute
			}
		}
		got, faults := ParseCSV(FormatCSV(s), testCatalogue)
		require.Empty(t, faults)
		require.Empty(t, DiffSheets(s, got))
	})
}

// TestParseCSVArbitraryText guards against a panic, and against a fault without a line and column, for arbitrary input.
func TestParseCSVArbitraryText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringOf(rapid.SampledFrom([]rune("ab,\"\n\r 0:é\ufeff"))).Draw(t, "text")
		for _, head := range []string{"", "model,customer,from,until,requests,tokens\n"} {
			_, faults := ParseCSV([]byte(head+text), testCatalogue)
			for _, f := range faults {
				require.Positive(t, f.Line)
				require.Positive(t, f.Column)
			}
		}
	})
}
