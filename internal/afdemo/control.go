package afdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Control sends requests to operators' listeners and to stand-ins.
type Control struct {
	// Token is the operator token. Empty means that none is sent.
	Token string
	HTTP  *http.Client
}

type issueRequest struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

type issueAnswer struct {
	Secret string `json:"secret"`
}

// Call sends a request with the JSON form of message, unless it is nil, and decodes the answer into v unless it is nil.
func (c Control) Call(ctx context.Context, method, target string, message, v any) error {
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
	if c.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.Token)
	}
	res, err := c.HTTP.Do(req)
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

// Issue creates a key of the customer and returns it in clear.
func (c Control) Issue(ctx context.Context, operator, name, customer string) (string, error) {
	var a issueAnswer
	err := c.Call(ctx, http.MethodPost, operator+"/v1/keys", issueRequest{Name: name, Customer: customer}, &a)
	return a.Secret, err
}
