package msrule

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"regexp"
)

const (
	// SecretPrefix begins every secret, so that a leaked one can be told from
	// other text.
	SecretPrefix = "ms_"
	// secretBytes is how much randomness a secret holds.
	secretBytes = 32
)

// What is said of a secret found among the rules; the secret isn't repeated.
const (
	secretShown  = "a secret stands here, for all to read"
	secretAdvice = "withdraw the key, make a new one and give its digest"
)

var secretPattern = regexp.MustCompile(SecretPrefix + `[A-Za-z0-9_-]{43}`)

// SecretError says that no secret could be made.
type SecretError struct {
	Err error
}

// Error returns the reason.
func (e *SecretError) Error() string {
	return fmt.Sprintf("no secret made: %v", e.Err)
}

// Unwrap returns the fault of the source of randomness.
func (e *SecretError) Unwrap() error {
	return e.Err
}

// NewSecret returns a secret of 256 bits from random, for a caller to present,
// and its digest, for the rules. Only the digest may be kept.
func NewSecret(random io.Reader) (secret, digest string, err error) {
	var b [secretBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", "", &SecretError{Err: err}
	}
	secret = SecretPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return secret, Digest(secret), nil
}

// Digest returns the SHA-256 of a secret in lower-case hexadecimal.
func Digest(secret string) string {
	digest := digestOf(secret)
	return string(digest[:])
}

// digestOf returns the digits of a secret's digest.
func digestOf(secret string) [digestDigits]byte {
	var digits [digestDigits]byte
	sum := sha256.Sum256([]byte(secret))
	hex.Encode(digits[:], sum[:])
	return digits
}

// secretIndex returns where the first secret in text begins, or -1.
func secretIndex(text string) int {
	at := secretPattern.FindStringIndex(text)
	if at == nil {
		return -1
	}
	return at[0]
}
