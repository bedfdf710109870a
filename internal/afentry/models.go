package afentry

import (
	"encoding/json"
	"net/http"

	"arbutusfork.example/arbutusfork"
)

// modelEntry is one model in the response to /v1/models.
type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Owner   string `json:"owned_by"`
}

// listModels writes the list of the models that the customer may use.
func (s *Server) listModels(x *exchange, keyRefusal *arbutusfork.Refusal) *arbutusfork.Refusal {
	if x.r.Method != http.MethodGet && x.r.Method != http.MethodHead {
		x.w.Header().Set("Allow", http.MethodGet)
		return arbutusfork.NewRefusal(arbutusfork.CodeMethodNotAllowed, "use GET")
	}
	if keyRefusal != nil {
		return keyRefusal
	}
	if x.keyDigest == "" && !x.index.hasPublicModelRoute {
		return arbutusfork.NewRefusal(arbutusfork.CodeMissingKey, "a key is needed")
	}
	out := []modelEntry{}
	for _, m := range x.snapshot.Models() {
		if _, _, admitted := x.index.findModelRoute(m, x.customer.Name); admitted {
			out = append(out, modelEntry{ID: m.Name, Object: "model", Owner: m.Service})
		}
	}
	b, _ := json.Marshal(map[string]any{"object": "list", "data": out}) // The entries always marshal.
	x.w.Header().Set(requestIDHeader, x.id)
	writeResponse(x.w, x.r.Method, http.StatusOK, typeJSON, b)
	return nil
}
