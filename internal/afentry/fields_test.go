package afentry

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestParseObject guards against reading other values from a body than encoding/json reads.
func TestParseObject(t *testing.T) {
	parts := rapid.SampledFrom([]string{
		"{", "}", "[", "]", ",", ":", `"a"`, `"b"`, `"\u0061"`, `"\""`, `"}{,"`, `"\\"`, "1", "-2.5e3", "true", "null", " ", "\n", `""`,
	})
	check := func(t require.TestingT, text string) {
		got, err := parseObject([]byte(text))
		var want map[string]json.RawMessage
		if json.Unmarshal([]byte(text), &want) != nil || want == nil {
			require.Error(t, err, text)
			return
		}
		require.NoError(t, err, text)
		require.Len(t, got, len(want), text)
		for k, v := range want {
			require.Equal(t, string(v), string(got.get(k)), text)
		}
		var again map[string]json.RawMessage
		require.NoError(t, json.Unmarshal(got.encode(), &again))
		require.Equal(t, want, again, text)
	}
	rapid.Check(t, func(t *rapid.T) {
		text := ""
		for _, p := range rapid.SliceOfN(parts, 0, 12).Draw(t, "parts") {
			text += p
		}
		check(t, text)
		check(t, "{"+text+"}")
		check(t, `{"a":`+text+`,"a":[`+text+"] }")
	})
	for _, text := range []string{
		"", " ", "null", "3", "[]", "{}", ` { "a" : { "b" : [ "]" , "\\\"" ] } , "a" : 1 } `, `{"a":1}x`, `{"model":"é","x":"\ud83d\ude00"}`,
	} {
		check(t, text)
	}
}
