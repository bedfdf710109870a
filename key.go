package arbutusfork

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	apiKeyPrefix      = "af-"
	apiKeySecretBytes = 24
)

// APIKey is a caller's credential. Only the digest of its clear text is stored; the clear text is shown once, when the key
// is issued.
type APIKey struct {
	Name string `json:"name"`
	// Customer names the customer whose requests carry the key.
	Customer string `json:"customer"`
	// Digest is the hexadecimal SHA-256 of the clear text.
	Digest string `json:"digest"`
	// IsWithdrawn keys admit no requests. A withdrawn key stays withdrawn.
	IsWithdrawn bool `json:"withdrawn,omitempty"`
}

// NewAPIKeySecret returns the clear text of a new random key.
func NewAPIKeySecret() string {
	b := make([]byte, apiKeySecretBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error.
	return apiKeyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// DigestSecret returns the hexadecimal SHA-256 of the clear text of a key or token, which is the form that is stored.
func DigestSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// WithWithdrawn returns a withdrawn copy of the key.
func (k APIKey) WithWithdrawn() APIKey {
	k.IsWithdrawn = true
	return k
}
