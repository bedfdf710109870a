package afobject_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// Guards against a list or a streaming watch that fails because another writer's object cannot be decoded.
func TestOddObjectHidesNoOther(t *testing.T) {
	item := func(name, spec string) string {
		return `{"kind":"customers","metadata":{"name":` + name + `,"resourceVersion":"7"},"spec":` + spec + `}`
	}
	for _, odd := range []string{
		item(`"odd"`, strings.Repeat("[", 100_000)+strings.Repeat("]", 100_000)), item(`"odd"`, `{"rate":NaN}`), item(`7`, `{}`),
		`{"metadata":{"name":"odd","resourceVersion":"9e9"}}`, `[]`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !r.URL.Query().Has("watch") {
				_, _ = w.Write([]byte(`{"metadata":{"resourceVersion":"8"},"items":[` + item(`"a"`, `{}`) + "," + odd + "," + item(`"z"`, `{"rate":1}`) + `]}`))
				return
			}
			for _, o := range []string{item(`"a"`, `{}`), odd, item(`"z"`, `{"rate":1}`)} {
				_, _ = w.Write([]byte(`{"type":"MODIFIED","object":` + o + "}\n"))
			}
		}))
		c := &afobject.Client{BaseURL: server.URL}
		objects, version, err := c.List(t.Context(), "")
		require.NoError(t, err)
		require.EqualValues(t, 8, version)
		var watched []afobject.Object
		_ = c.Watch(t.Context(), afobject.KindCustomers, 1, func(e afobject.Event) { watched = append(watched, e.Object) }) // It ends with the stream.
		require.Len(t, watched, 3)
		for _, list := range [][]afobject.Object{objects, watched} {
			require.Equal(t, "a", list[0].Name)
			require.Equal(t, "z", list[len(list)-1].Name)
			require.JSONEq(t, `{"rate":1}`, string(list[len(list)-1].Spec))
		}
		if !strings.Contains(odd, `"odd"`) {
			_, _, err := c.List(t.Context(), afobject.KindVMs)
			require.Error(t, err, "any VM may be the one without a name")
		}
		server.Close()
	}
}
