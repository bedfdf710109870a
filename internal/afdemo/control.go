package afdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// JSONClient sends requests with JSON bodies to operators' listeners and to stand-ins.
type JSONClient struct {
	// OperatorToken is sent as the bearer token. Empty means that no token is sent.
	OperatorToken string
	HTTPClient    *http.Client
}

// issueRequest is the body of a request for a new API key.
type issueRequest struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

// issueAnswer is the answer to issueRequest.
type issueAnswer struct {
	Secret string `json:"secret"`
}

// SendRequest sends a request with input as JSON, or without a body if input is nil. It decodes the answer into output
// unless output is nil.
func (c JSONClient) SendRequest(ctx context.Context, method, target string, input, output any) error {
	var body io.Reader
	if input != nil {
		b, err := json.Marshal(input)
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
	if output == nil {
		return nil
	}
	return json.Unmarshal(answer, output)
}

// IssueKey creates an API key of the customer and returns its secret.
func (c JSONClient) IssueKey(ctx context.Context, operatorURL, name, customer string) (string, error) {
	var a issueAnswer
	err := c.SendRequest(ctx, http.MethodPost, operatorURL+"/v1/keys", issueRequest{Name: name, Customer: customer}, &a)
	return a.Secret, err
}
