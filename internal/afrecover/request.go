package afrecover

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

//go:generate stringer -type=Result -linecomment -output=result_string.go

// Result is how a request ended for its caller.
type Result int

// The results of requests.
const (
	// ResultAnswered means that the whole answer arrived.
	ResultAnswered Result = iota // answered
	// ResultRefused means that the VM refused the request before any answer.
	ResultRefused // refused
	// ResultCut means that the connection broke before the whole answer had arrived.
	ResultCut // cut
	// ResultEnded means that a stream ended with an error event.
	ResultEnded // ended
	// ResultTruncated means that a stream ended normally before its end marker, or with the wrong text.
	ResultTruncated // truncated
	// ResultUnreached means that no connection to a VM could be made.
	ResultUnreached // unreached
)

// Sample is one request as its caller saw it.
type Sample struct {
	Customer string
	VM       int
	IsStream bool
	SentAt   time.Time
	// HeaderAt is when the header of the answer arrived, and EndedAt when the request ended.
	HeaderAt, EndedAt time.Time
	Result            Result
	Status            int
	Code              string
	Outcome           string
	// Tokens are those of the prompt and the answer as the endpoint reports them.
	Tokens int64
	Err    error
	Body   []byte
}

type apiError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage struct {
		Total int64 `json:"total_tokens"`
	} `json:"usage"`
	Error *apiError `json:"error"`
}

// request is what a caller sends.
type request struct {
	customer string
	key      string
	model    string
	tokens   int
	stream   bool
	deadline time.Duration
	// path and body are set for calls of plain services. Once is their idempotency key.
	path string
	body []byte
	once string
}

const prompt = "which of the orders are late"

func (q request) encode() (string, []byte) {
	if q.path != "" {
		return q.path, q.body
	}
	m := map[string]any{
		"model":      q.model,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": q.tokens,
	}
	if q.stream {
		m["stream"], m["stream_options"] = true, map[string]bool{"include_usage": true}
	}
	b, _ := json.Marshal(m) // Strings, numbers and booleans can be encoded.
	return "/v1/chat/completions", b
}

// send sends the request to one VM.
func (q request) send(ctx context.Context, client *http.Client, base string, vm int) Sample {
	s := Sample{Customer: q.customer, VM: vm, IsStream: q.stream, SentAt: time.Now()}
	q.exchange(ctx, client, base, &s)
	s.EndedAt = time.Now()
	if s.HeaderAt.IsZero() {
		s.HeaderAt = s.EndedAt
	}
	return s
}

func (q request) exchange(ctx context.Context, client *http.Client, base string, s *Sample) {
	path, body := q.encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		s.Result, s.Err = ResultUnreached, err
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+q.key)
	if q.deadline > 0 {
		req.Header.Set("X-Request-Timeout", strconv.FormatFloat(q.deadline.Seconds(), 'f', 3, 64))
	}
	if q.once != "" {
		// Without it the client would resend the call by itself, since it has an idempotency key.
		req.GetBody = nil
		req.Header.Set("Idempotency-Key", q.once)
	}
	res, err := client.Do(req)
	if err != nil {
		s.Result, s.Err = ResultCut, err
		if e := (*net.OpError)(nil); errors.As(err, &e) && e.Op == "dial" {
			s.Result = ResultUnreached
		}
		return
	}
	defer func() { _ = res.Body.Close() }()
	s.HeaderAt, s.Status = time.Now(), res.StatusCode
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		q.readStream(res.Body, s)
		return
	}
	q.readBody(res.Body, s)
}

func (q request) readBody(r io.Reader, s *Sample) {
	body, err := io.ReadAll(r)
	if err != nil {
		s.Result, s.Err = ResultCut, err
		return
	}
	s.Body = body
	var e chatEvent
	err = json.Unmarshal(body, &e)
	switch {
	case err == nil && e.Error != nil:
		s.Result, s.Code, s.Outcome = ResultRefused, e.Error.Code, e.Error.Outcome
	case s.Status != http.StatusOK:
		s.Result, s.Code = ResultRefused, "status "+strconv.Itoa(s.Status)
	case err != nil:
		s.Result, s.Err = ResultTruncated, err
	case q.path == "" && (len(e.Choices) == 0 || e.Choices[0].Message.Content != answerText(q.tokens)):
		s.Result, s.Err = ResultTruncated, fmt.Errorf("wrong answer %.80q", body)
	default:
		s.Tokens = e.Usage.Total
	}
}

// answerText is what the engines' stand-ins answer.
func answerText(tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString("t" + strconv.Itoa(i) + " ")
	}
	return b.String()
}

func (q request) readStream(r io.Reader, s *Sample) {
	var text strings.Builder
	chunks := int64(0)
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if text.String() != answerText(q.tokens) {
				s.Result, s.Err = ResultTruncated, fmt.Errorf("%d of %d tokens before the end marker", chunks, q.tokens)
			}
			return
		}
		var e chatEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			s.Result, s.Err = ResultTruncated, err
			return
		}
		if e.Error != nil {
			s.Result, s.Code, s.Outcome = ResultEnded, e.Error.Code, e.Error.Outcome
			return
		}
		if len(e.Choices) > 0 && e.Choices[0].Delta.Content != "" {
			text.WriteString(e.Choices[0].Delta.Content)
			chunks++
		}
		s.Tokens = max(s.Tokens, chunks, e.Usage.Total)
	}
	s.Result, s.Err = ResultTruncated, errors.New("the stream ended without its end marker")
	if err := lines.Err(); err != nil {
		s.Result, s.Err = ResultCut, err
	}
}
