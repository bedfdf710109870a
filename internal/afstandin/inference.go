package afstandin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type inferenceKind int

const (
	kindChat inferenceKind = iota
	kindText
	kindEmbedding
)

const (
	defaultMaxTokens = 16
	// answerTime is the creation time in answers. It is fixed, so that sessions can be compared with golden files.
	answerTime = 1700000000
)

type inferenceRequest struct {
	kind     inferenceKind
	Model    string          `json:"model"`
	Stream   bool            `json:"stream"`
	Messages json.RawMessage `json:"messages"`
	Prompt   json.RawMessage `json:"prompt"`
	Input    json.RawMessage `json:"input"`
	Max      int             `json:"max_tokens"`
	MaxNew   int             `json:"max_completion_tokens"`
	Options  *struct {
		Usage bool `json:"include_usage"`
	} `json:"stream_options"`
}

func (r inferenceRequest) tokens() int {
	switch {
	case r.MaxNew > 0:
		return r.MaxNew
	case r.Max > 0:
		return r.Max
	}
	return defaultMaxTokens
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

// usage counts one token for four bytes of the prompt, as real tokenizers do for English on average.
func (r inferenceRequest) usage(completion int) *usage {
	prompt := (len(r.Messages) + len(r.Prompt) + len(r.Input) + 3) / 4
	return &usage{Prompt: prompt, Completion: completion, Total: prompt + completion}
}

// token returns the n-th generated token, which depends only on its number.
func token(n int) string { return "t" + strconv.Itoa(n) + " " }

func (e *Engine) answer(w http.ResponseWriter, r *http.Request, req inferenceRequest) {
	switch {
	case req.kind == kindEmbedding:
		if wait(r, e.FirstTokenDelay) {
			reply(w, http.StatusOK, map[string]any{
				"object": "list", "model": req.Model, "usage": req.usage(0),
				"data": []any{map[string]any{"object": "embedding", "index": 0, "embedding": []float64{0.5, -0.25}}},
			})
		}
	case req.Stream:
		e.stream(w, r, req)
	default:
		e.whole(w, r, req)
	}
}

func (e *Engine) whole(w http.ResponseWriter, r *http.Request, req inferenceRequest) {
	n := req.tokens()
	cut := e.faults.get().CutAfterTokens
	text := ""
	for i := range n {
		text += token(i)
	}
	if !wait(r, e.FirstTokenDelay+time.Duration(n-1)*e.TokenInterval) {
		return
	}
	body, _ := json.Marshal(map[string]any{
		"id": req.id(r), "object": strings.TrimSuffix(req.object(), ".chunk"), "created": answerTime, "model": req.Model,
		"choices": []any{req.choice(text)}, "usage": req.usage(n),
	})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if cut > 0 && cut < n {
		// A body shorter than its length makes the server close the connection.
		_, _ = w.Write(body[:len(body)/2])
		return
	}
	_, _ = w.Write(body)
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, req inferenceRequest) {
	if !wait(r, e.FirstTokenDelay) {
		return
	}
	start, _ := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
	if e.SupportsResume {
		w.Header().Set("X-Resume-Offset", strconv.Itoa(start))
	} else {
		start = 0
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := func() { _ = http.NewResponseController(w).Flush() }
	n := req.tokens()
	model, _ := json.Marshal(req.Model)
	head := fmt.Sprintf(`data: {"id":"%s","object":"%s","created":%d,"model":%s,"choices":[`, req.id(r), req.object(), answerTime, model)
	open, end := `{"index":0,"delta":{"content":"`, "\"}}]}\n\n"
	if req.kind == kindText {
		open, end = `{"index":0,"text":"`, "\"}]}\n\n"
	}
	sent := 0
	for i := range n {
		if i < start {
			continue
		}
		if cut := e.faults.get().CutAfterTokens; cut > 0 && sent >= cut {
			hangUp(w)
			return
		}
		if sent > 0 && !wait(r, e.TokenInterval) {
			return
		}
		sent++
		_, _ = io.WriteString(w, head+open+token(i)+end)
		flush()
	}
	if req.Options != nil && req.Options.Usage && start <= n {
		u, _ := json.Marshal(req.usage(n))
		_, _ = fmt.Fprintf(w, "%s],\"usage\":%s}\n\n", head, u)
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	flush()
}

func (r inferenceRequest) id(h *http.Request) string {
	if r.kind == kindChat {
		return "chatcmpl-" + h.Header.Get("X-Request-Id")
	}
	return "cmpl-" + h.Header.Get("X-Request-Id")
}

func (r inferenceRequest) object() string {
	if r.kind == kindText {
		return "text_completion"
	}
	return "chat.completion.chunk"
}

func (r inferenceRequest) choice(text string) any {
	if r.kind == kindText {
		return map[string]any{"index": 0, "text": text}
	}
	return map[string]any{
		"index": 0, "finish_reason": "length",
		"message": map[string]string{"role": "assistant", "content": text},
	}
}

func replyError(w http.ResponseWriter, status int, code, message string) {
	reply(w, status, map[string]any{"error": map[string]string{"code": code, "message": message}})
}
