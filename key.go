package arbutusfork

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	keyPrefix      = "af-"
	keySecretBytes = 24
)

// APIKey is a caller credential. Only its digest is stored; the clear text is shown once, when the key is issued.
type APIKey struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
	// Digest is the hexadecimal SHA-256 of the clear text.
	Digest string `json:"digest"`
	// IsWithdrawn is never reset once true.
	IsWithdrawn bool `json:"withdrawn,omitempty"`
}

// NewAPIKeySecret returns a random key in clear text.
func NewAPIKeySecret() string {
	b := make([]byte, keySecretBytes)
	_, _ = rand.Read(b) // crypto/rand.Read never returns an error.
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// DigestSecret returns the stored form of a key's clear text.
func DigestSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// WithWithdrawn returns a copy that no longer admits requests.
func (k APIKey) WithWithdrawn() APIKey {
	k.IsWithdrawn = true
	return k
}
