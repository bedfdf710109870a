package afobject_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"

	"arbutusfork.example/arbutusfork/internal/afstandin"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// An update with an old version fails with VersionConflict, so that no writer overwrites a change unseen.
func ExampleClient_Update() {
	server := httptest.NewServer(new(afstandin.Platform).Handler())
	defer server.Close()
	c := &afobject.Client{BaseURL: server.URL}
	ctx := context.Background()
	first, _ := c.Create(ctx, afobject.Object{Kind: afobject.KindCustomers, Name: "a", Spec: json.RawMessage(`{"rate":1}`)})
	second := first
	second.Spec = json.RawMessage(`{"rate":2}`)
	_, err := c.Update(ctx, second)
	fmt.Println("error:", err)
	_, err = c.Update(ctx, first)
	fmt.Println("conflict:", afobject.IsKind(err, afobject.VersionConflict))
	// Output:
	// error: <nil>
	// conflict: true
}
