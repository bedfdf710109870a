package afroute

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a match with a shorter prefix, with a route of another host, or with a part of a path segment.
func TestMatchRoutePrefersLongestPrefix(t *testing.T) {
	table := NewTable(1, Limits{}, []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "A.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, nil, nil)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/", "short"},
		{"a.example:8080", "/x/yy/1", "short"},
		{"A.EXAMPLE", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/y/1", ""},
	} {
		r, ok := table.MatchRoute(c.host, c.path)
		require.Equal(t, c.want != "", ok, c)
		require.Equal(t, c.want, r.Name, c)
	}
}

// Guards against a table that keeps keys in clear text, and against a key that matches another customer.
func TestCustomerByKeyUsesDigests(t *testing.T) {
	table := NewTable(1, Limits{}, nil, nil, []Customer{{Name: "one"}, {Name: "two"}}, map[string]string{"k1": "one", "k2": "two", "k3": "gone"})
	c, ok := table.CustomerByKey("k2")
	require.True(t, ok)
	require.Equal(t, "two", c.Name)
	for _, key := range []string{"", "k", "k3", "k1 "} {
		_, ok := table.CustomerByKey(key)
		require.False(t, ok, key)
	}
	require.NotContains(t, table.customersByKeyDigest, "k1")
}

// Guards against requests that go to a service of weight zero or not in proportion to the weights.
func TestPickServiceFollowsWeights(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 0}, {"b", 3}, {"c", 1}}}
	got := map[string]int{}
	for i := range 400 {
		got[r.PickService(float64(i)/400)]++
	}
	require.Equal(t, map[string]int{"b": 300, "c": 100}, got)
}
