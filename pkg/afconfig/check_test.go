package afconfig_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afconfig"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// TestOddObjectsAreNotUsed guards against objects of other writers whose numbers overflow or that name no endpoint.
func TestOddObjectsAreNotUsed(t *testing.T) {
	const sound = `{"name":"n","service":"s","address":"127.0.0.1:80","slots":4}`
	for kind, specs := range map[string][]string{
		afobject.KindEndpoints: {
			`{}`, `[]`, `{"address":"127.0.0.1:80","slots":-1}`, `{"address":"127.0.0.1:80","slots":1e19}`, `{"address":"127.0.0.1:80","slots":9000000000000000000}`,
			`{"address":"127.0.0.1:80","slots":1.5}`, `{"address":"127.0.0.1:80","memory":-1}`, `{"address":"127.0.0.1:0"}`, `{"address":"127.0.0.1:70000"}`, `{"address":"host:80"}`, `{"address":"0.0.0.0:80"}`,
		},
		afobject.KindModels:    {`{"memory":-1}`, `{"remote":9000000000000000000}`, `{"replicas":-1}`},
		afobject.KindCustomers: {`{"rate":-1}`, `{"burst":9000000000000000000}`, `{"rate":1e400}`},
		afobject.KindServices:  {`{"loads":-1}`, `{"loads":1e300}`, `{"parallel":-1}`},
	} {
		for i, odd := range specs {
			before, err := new(afconfig.Snapshot).WithValidObjects(1, afobject.Object{Kind: kind, Name: "n", Version: 1, Spec: []byte(sound)})
			require.NoError(t, err)
			after, err := before.WithValidObjects(2, afobject.Object{Kind: kind, Name: "n", Version: 2, Spec: []byte(odd)})
			require.Error(t, err, "%s %d", kind, i)
			require.Zero(t, len(after.Endpoints())+len(after.Models())+len(after.Customers())+len(after.Services()), "%s %s", kind, odd)
			again, err := after.WithValidObjects(3, afobject.Object{Kind: kind, Name: "n", Version: 3, Spec: []byte(sound)})
			require.NoError(t, err)
			require.Equal(t, 1, len(again.Endpoints())+len(again.Models())+len(again.Customers())+len(again.Services()), kind)
		}
	}
}
