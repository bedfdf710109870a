package afoperator

import (
	"net/http"
)

type explainBody struct {
	Decisions any `json:"decisions"`
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.CheckReady()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(reason + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) status(*http.Request) (answer, error) {
	return answer{status: http.StatusOK, body: s.ReportStatus()}, nil
}

func (s *Server) explain(r *http.Request) (answer, error) {
	q := r.URL.Query()
	request, model := q.Get("request"), q.Get("model")
	if (request == "") == (model == "") {
		return answer{}, fail("explain", InvalidRequest, "name either a request or a model")
	}
	v, ok := s.ExplainDecisions(request, model)
	if !ok {
		return answer{}, fail("explain", ObjectNotFound, "this VM keeps no decision on it; each VM keeps only its own recent ones")
	}
	return answer{status: http.StatusOK, body: explainBody{Decisions: v}}, nil
}

func (s *Server) drain(r *http.Request) (answer, error) {
	s.Log.Info("drain requested", "remote", r.RemoteAddr)
	return answer{status: http.StatusAccepted, body: map[string]string{"state": "draining"}, after: s.StartDrain}, nil
}
