package afdemo

import (
	"context"
	"net/http"
)

func (d *Demo) operator() JSONClient {
	return JSONClient{OperatorToken: d.OperatorToken, HTTPClient: d.HTTPClient}
}

// post sends an operator's request to one VM.
func (d *Demo) post(ctx context.Context, vm int, path string) error {
	return d.operator().SendRequest(ctx, http.MethodPost, d.OperatorsURLs[vm]+path, struct{}{}, nil)
}

func (d *Demo) issue(ctx context.Context, name, customer string) (string, error) {
	return d.operator().IssueKey(ctx, d.OperatorsURLs[0], name, customer)
}

func (d *Demo) withdraw(ctx context.Context, name string) error {
	return d.post(ctx, 1, "/v1/keys/"+name+"/withdraw")
}

// ready reports whether the VM takes new requests. A VM that does not answer is not ready.
func (d *Demo) ready(ctx context.Context, vm int) bool {
	return d.operator().SendRequest(ctx, http.MethodGet, d.OperatorsURLs[vm]+"/readyz", nil, nil) == nil
}
