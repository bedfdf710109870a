package afoperator

import (
	"net/http"
)

type explainBody struct {
	Decisions any `json:"decisions"`
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	ok, reason := s.CheckReady()
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(reason + "\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) handleStatus(*http.Request) (response, error) {
	return response{status: http.StatusOK, body: s.ReportStatus()}, nil
}

func (s *Server) handleExplain(r *http.Request) (response, error) {
	q := r.URL.Query()
	request, model := q.Get("request"), q.Get("model")
	if (request == "") == (model == "") {
		return response{}, newError("explain", InvalidRequest, "name either a request or a model")
	}
	v, ok := s.ExplainDecisions(request, model)
	if !ok {
		return response{}, newError("explain", ObjectNotFound, "this VM keeps no decision on it; each VM keeps only its own recent ones")
	}
	return response{status: http.StatusOK, body: explainBody{Decisions: v}}, nil
}

func (s *Server) handleDrain(r *http.Request) (response, error) {
	s.Log.Info("drain requested", "remote", r.RemoteAddr)
	return response{status: http.StatusAccepted, body: map[string]string{"state": "draining"}, afterWrite: s.StartDrain}, nil
}
