// Package afdemo drives a running example as callers and an operator would and checks what they see.
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

// caller sends requests to the callers' listener of one VM.
type caller struct {
	base string
	key  string
	http *http.Client
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
	Completion int `json:"completion_tokens"`
}

type chatAnswer struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
		Finish  string      `json:"finish_reason"`
	} `json:"choices"`
	Usage chatUsage `json:"usage"`
	Error *apiError `json:"error"`
}

type apiError struct {
	Message string `json:"message"`
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
}

// answer is what a caller saw of one request.
type answer struct {
	Status int
	Text   string
	// Chunks counts the streamed pieces of text.
	Chunks int
	// Whole tells that the stream ended with its end marker, or that the body was complete.
	Whole bool
	// First is the time to the first piece of text.
	First time.Duration
	Error apiError
	Body  []byte
	// Retry is the Retry-After header.
	Retry string
}

func (c caller) chat(ctx context.Context, model, prompt string, tokens int, stream bool) (answer, error) {
	body, err := json.Marshal(chatRequest{
		Model:     model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: tokens,
		Stream:    stream,
	})
	if err != nil {
		return answer{}, err
	}
	return c.do(ctx, "/v1/chat/completions", body, nil)
}

func (c caller) do(ctx context.Context, path string, body []byte, header map[string]string) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	start := time.Now()
	res, err := c.http.Do(req)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = res.Body.Close() }()
	a := answer{Status: res.StatusCode, Retry: res.Header.Get("Retry-After")}
	if strings.HasPrefix(res.Header.Get("Content-Type"), "text/event-stream") {
		return a, a.readStream(res.Body, start)
	}
	return a, a.readBody(res.Body, start)
}

func (a *answer) readBody(r io.Reader, start time.Time) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	a.First, a.Body, a.Whole = time.Since(start), body, true
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

func (a *answer) readStream(r io.Reader, start time.Time) error {
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Whole = true
			return nil
		}
		if err := a.addChunk([]byte(data), start); err != nil {
			return err
		}
	}
	return lines.Err()
}

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
	if a.Chunks == 0 {
		a.First = time.Since(start)
	}
	a.Chunks++
	a.Text += chunk.Choices[0].Delta.Content
	return nil
}
