package afdemo

import (
	"context"
	"net/http"
)

// newOperatorClient returns a client with the operator token.
func (d *Demo) newOperatorClient() JSONClient {
	return JSONClient{OperatorToken: d.OperatorToken, HTTPClient: d.HTTPClient}
}

// postToOperator sends a POST request to the operators' listener of one VM.
func (d *Demo) postToOperator(ctx context.Context, vm int, path string) error {
	return d.newOperatorClient().SendRequest(ctx, http.MethodPost, d.OperatorsURLs[vm]+path, struct{}{}, nil)
}

// issueKey creates an API key of the customer at the first VM and returns its secret.
func (d *Demo) issueKey(ctx context.Context, name, customer string) (string, error) {
	return d.newOperatorClient().IssueKey(ctx, d.OperatorsURLs[0], name, customer)
}

// withdrawKey withdraws a key at the second VM.
func (d *Demo) withdrawKey(ctx context.Context, name string) error {
	return d.postToOperator(ctx, 1, "/v1/keys/"+name+"/withdraw")
}

// isReady reports whether the VM accepts new requests. A VM that does not answer is not ready.
func (d *Demo) isReady(ctx context.Context, vm int) bool {
	return d.newOperatorClient().SendRequest(ctx, http.MethodGet, d.OperatorsURLs[vm]+"/readyz", nil, nil) == nil
}
