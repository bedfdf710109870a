package afstandin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// PlainService is a stand-in for a plain service: payments that are counted and a lookup of the stock. Its fields
// are set before Run.
type PlainService struct {
	// Address is where Run listens. Listener takes its place if it is set.
	Address  string
	Listener net.Listener

	faults faultSet
	mu     sync.Mutex
	runs   map[string]int
	keys   int
}

// Run serves until ctx ends.
func (s *PlainService) Run(ctx context.Context) error {
	l, err := listen(s.Listener, s.Address)
	if err != nil {
		return err
	}
	return serveHTTP(ctx, l, s.Handler(), s.faults.connect)
}

// SetFaults switches the faults.
func (s *PlainService) SetFaults(f EndpointFaults) { s.faults.set(f) }

// PaymentRuns returns how often each payment ran, by the id in its body.
func (s *PlainService) PaymentRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// RequestsWithKey returns how many requests carried a caller's key, which must stay zero.
func (s *PlainService) RequestsWithKey() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys
}

// Handler returns the service's HTTP interface. The last elements of the path select payments and stock, so
// that any route prefix can stand before them.
func (s *PlainService) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.PaymentRuns()) })
	mux.HandleFunc("POST /faults", s.faults.serve)
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *PlainService) call(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "" {
		s.mu.Lock()
		s.keys++
		s.mu.Unlock()
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		replyError(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if !s.faults.hear(r) {
		return
	}
	faults := s.faults.get()
	// A cut payment runs before its answer is lost.
	if r.Method == http.MethodPost && !faults.IsDown && !faults.IsLeaving {
		s.run(body)
	}
	if !s.faults.apply(w, r) {
		return
	}
	if faults.CutAfterTokens > 0 {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, `{"cut":`)
		return
	}
	if r.Method == http.MethodPost {
		reply(w, http.StatusOK, map[string]any{"done": paymentID(body)})
		return
	}
	item := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	reply(w, http.StatusOK, map[string]any{"item": item, "stock": len(item)})
}

func (s *PlainService) run(body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string]int)
	}
	s.runs[paymentID(body)]++
}

func paymentID(body []byte) string {
	var v struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &v)
	return v.ID
}
