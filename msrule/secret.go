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
	// SecretPrefix starts every secret, so that leaked secrets can be recognised
	// in text.
	SecretPrefix = "ms_"
	// secretBytes is the number of random bytes in a secret.
	secretBytes = 32
)

// Reason and Want of the error for a secret found in the rules. They don't repeat
// the secret.
const (
	secretExposed = "a secret is written here in plain text"
	secretAdvice  = "withdraw the key, create a new one and give its digest"
)

var secretPattern = regexp.MustCompile(SecretPrefix + `[A-Za-z0-9_-]{43}`)

// SecretError is returned when a secret can't be generated.
type SecretError struct {
	Err error
}

// Error returns the reason the secret could not be generated.
func (e *SecretError) Error() string {
	return fmt.Sprintf("generate secret: %v", e.Err)
}

// Unwrap returns the error of the source of randomness.
func (e *SecretError) Unwrap() error {
	return e.Err
}

// NewSecret generates a 256-bit secret from random. It returns the secret, which
// callers present, and its digest, which goes into the rules. Only the digest may
// be stored.
func NewSecret(random io.Reader) (secret, digest string, err error) {
	var b [secretBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", "", &SecretError{Err: err}
	}
	secret = SecretPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	return secret, Digest(secret), nil
}

// Digest returns the SHA-256 digest of a secret in lower-case hexadecimal.
func Digest(secret string) string {
	digest := hexDigest(secret)
	return string(digest[:])
}

// hexDigest returns the hexadecimal digits of a secret's SHA-256 digest. Unlike
// Digest, it returns an array.
func hexDigest(secret string) [digestDigits]byte {
	var digits [digestDigits]byte
	sum := sha256.Sum256([]byte(secret))
	hex.Encode(digits[:], sum[:])
	return digits
}

// secretIndex returns the byte index of the first secret in text, or -1.
func secretIndex(text string) int {
	at := secretPattern.FindStringIndex(text)
	if at == nil {
		return -1
	}
	return at[0]
}
