package afdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

type issueRequest struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

type issueAnswer struct {
	Secret string `json:"secret"`
}

// post sends an operator's request to one VM and decodes the answer into v unless it is nil.
func (d *Demo) post(ctx context.Context, vm int, path string, message, v any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.Operators[vm]+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+d.Token)
	res, err := d.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s answered status %d: %s", path, res.StatusCode, answer)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(answer, v)
}

func (d *Demo) issue(ctx context.Context, name, customer string) (string, error) {
	var a issueAnswer
	err := d.post(ctx, 0, "/v1/keys", issueRequest{Name: name, Customer: customer}, &a)
	return a.Secret, err
}

func (d *Demo) withdraw(ctx context.Context, name string) error {
	return d.post(ctx, 1, "/v1/keys/"+name+"/withdraw", struct{}{}, nil)
}

// ready reports whether the VM takes new requests. A VM that does not answer is not ready.
func (d *Demo) ready(ctx context.Context, vm int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.Operators[vm]+"/readyz", nil)
	if err != nil {
		return false
	}
	res, err := d.HTTP.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
