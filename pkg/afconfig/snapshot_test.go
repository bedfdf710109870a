package afconfig

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

func keyObject(version int64, withdrawn bool) afobject.Object {
	k := arbutusfork.APIKey{Name: "k", Customer: "c", Digest: arbutusfork.DigestSecret("secret"), IsWithdrawn: withdrawn}
	spec, _ := json.Marshal(k) // An APIKey can always be encoded.
	return afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: version, Spec: spec}
}

// TestLateChangeIgnored guards against a withdrawn or deleted key that becomes valid again when an older change of
// the key arrives late, from a slow watch or from another VM.
func TestLateChangeIgnored(t *testing.T) {
	s, err := new(Snapshot).WithObjects(5, keyObject(5, true))
	require.NoError(t, err)
	s, err = s.WithObjects(4, keyObject(4, false))
	require.NoError(t, err)
	k, ok := s.Key(arbutusfork.DigestSecret("secret"))
	require.True(t, ok)
	require.True(t, k.IsWithdrawn)
	require.EqualValues(t, 5, s.Version)

	s, err = s.WithObjects(6, afobject.Object{Kind: afobject.KindKeys, Name: "k", Version: 6})
	require.NoError(t, err)
	s, err = s.WithObjects(5, keyObject(5, false))
	require.NoError(t, err)
	_, ok = s.Key(arbutusfork.DigestSecret("secret"))
	require.False(t, ok)
}

func ExampleSnapshot_WithObjects() {
	first, _ := new(Snapshot).WithObjects(1, keyObject(1, false))
	second, _ := first.WithObjects(2, keyObject(2, true))
	for _, s := range []*Snapshot{first, second} {
		k, _ := s.Key(arbutusfork.DigestSecret("secret"))
		fmt.Println(s.Version, k.IsWithdrawn)
	}
	// Output:
	// 1 false
	// 2 true
}
