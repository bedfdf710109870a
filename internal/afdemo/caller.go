// Package afdemo sends requests of callers and of an operator to a running example deployment and checks the answers.
package afdemo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// caller sends requests to the callers' listener of one VM with the API key of one customer.
type caller struct {
	baseURL    string
	apiKey     string
	httpClient *http.Client
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream,omitempty"`
}

type chatUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

type chatAnswer struct {
	Choices []struct {
		Delta        chatMessage `json:"delta"`
		Message      chatMessage `json:"message"`
		FinishReason string      `json:"finish_reason"`
	} `json:"choices"`
	Usage chatUsage `json:"usage"`
	Error *apiError `json:"error"`
}

type apiError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// answer is the answer to one request, as received by the caller.
type answer struct {
	StatusCode int
	Text       string
	// ChunkCount is the number of streamed chunks of text.
	ChunkCount int
	// IsComplete means that the stream ended with its end marker, or that the body was complete.
	IsComplete bool
	// FirstChunkDelay is the time to the first piece of text.
	FirstChunkDelay time.Duration
	Error           apiError
	Body            []byte
	// RetryAfter is the Retry-After header.
	RetryAfter string
}

// sendChat sends a chat completion request.
func (c caller) sendChat(ctx context.Context, model, prompt string, tokens int, stream bool) (answer, error) {
	body, err := json.Marshal(chatRequest{
		Model:     model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: tokens,
		Stream:    stream,
	})
	if err != nil {
		return answer{}, err
	}
	return c.sendRequest(ctx, "/v1/chat/completions", body, nil)
}

// sendRequest sends a POST request and reads the answer, which may be a stream of events.
func (c caller) sendRequest(ctx context.Context, path string, body []byte, header map[string]string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.apiKey != "" {
		req.Header.Set("Authorization", "Bearer "+c.apiKey)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	start := time.Now()
	res, err := c.httpClient.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	a := answer{StatusCode: res.StatusCode, RetryAfter: res.Header.Get("Retry-After")}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return a, a.readStream(res.Body, start)
	}
	return a, a.readBody(res.Body, start)
}

// readBody reads an answer that is not a stream. A body in another form than a chat answer is kept without its text.
func (a *answer) readBody(r io.Reader, start time.Time) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	a.FirstChunkDelay, a.Body, a.IsComplete = time.Since(start), body, true
	var parsed chatAnswer
	if json.Unmarshal(body, &parsed) != nil {
		return nil
	}
	if parsed.Error != nil {
		a.Error = *parsed.Error
	}
	if len(parsed.Choices) > 0 {
		a.Text = parsed.Choices[0].Message.Content
	}
	return nil
}

// readStream reads an answer that is a stream of server-sent events.
func (a *answer) readStream(r io.Reader, start time.Time) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.IsComplete = true
			return nil
		}
		if err := a.addChunk([]byte(data), start); err != nil {
			return err
		}
	}
	return lines.Err()
}

// addChunk adds the text or error of one event to the answer.
func (a *answer) addChunk(data []byte, start time.Time) error {
	var chunk chatAnswer
	if err := json.Unmarshal(data, &chunk); err != nil {
		return fmt.Errorf("malformed stream event %q: %w", data, err)
	}
	if chunk.Error != nil {
		a.Error = *chunk.Error
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Delta.Content == "" {
		return nil
	}
	if a.ChunkCount == 0 {
		a.FirstChunkDelay = time.Since(start)
	}
	a.ChunkCount++
	a.Text += chunk.Choices[0].Delta.Content
	return nil
}
