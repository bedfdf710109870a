package afgateway

import (
	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// EndpointNotices connects the gateway to what endpoints say about themselves. Without its functions, nothing is recorded.
type EndpointNotices struct {
	// Record is called with what an endpoint said about itself in an answer. It must not block.
	Record func(e afengine.EndpointStart, said afnotice.Statement)
}

// recordStatement records what an endpoint said about itself in an answer.
func (s *Server) recordStatement(e afroster.Endpoint, said afnotice.Statement) {
	if s.EndpointNotices.Record != nil && !said.IsEmpty() {
		s.EndpointNotices.Record(e.Start(), said)
	}
}
