package afdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// JSONClient sends requests to operators' listeners and to stand-ins.
type JSONClient struct {
	// OperatorToken is the operator token. Empty means that none is sent.
	OperatorToken string
	HTTPClient    *http.Client
}

type issueRequest struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

type issueAnswer struct {
	Secret string `json:"secret"`
}

// SendRequest sends a request with the JSON form of message, unless it is nil, and decodes the answer into v unless it is nil.
func (c JSONClient) SendRequest(ctx context.Context, method, target string, message, v any) error {
	var body io.Reader
	if message != nil {
		b, err := json.Marshal(message)
		if err != nil {
			return err
		}
		body = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, target, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	if c.OperatorToken != "" {
		req.Header.Set("Authorization", "Bearer "+c.OperatorToken)
	}
	res, err := c.HTTPClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered status %d: %s", target, res.StatusCode, answer)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(answer, v)
}

// IssueKey creates a key of the customer and returns it in clear.
func (c JSONClient) IssueKey(ctx context.Context, operator, name, customer string) (string, error) {
	var a issueAnswer
	err := c.SendRequest(ctx, http.MethodPost, operator+"/v1/keys", issueRequest{Name: name, Customer: customer}, &a)
	return a.Secret, err
}
