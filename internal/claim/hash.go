package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"io"

	"godwitmount/internal/rendezvous"
)

// MaxKeyLength is the longest Idempotency-Key in bytes.
const MaxKeyLength = 255

// String returns the first 12 hex digits, for logs.
func (h Hash) String() string { return hex.EncodeToString(h[:6]) }

// HashFrom copies a hash out of a message; ok is false for a wrong size.
func HashFrom(raw []byte) (h Hash, ok bool) {
	if len(raw) != HashSize {
		return h, false
	}
	copy(h[:], raw)
	return h, true
}

// ValidKey reports whether an Idempotency-Key header value is usable: 1 to
// MaxKeyLength printable ASCII bytes.
func ValidKey(value string) bool {
	if value == "" || len(value) > MaxKeyLength {
		return false
	}
	for i := 0; i < len(value); i++ {
		if value[i] < ' ' || value[i] > '~' {
			return false
		}
	}
	return true
}

// KeyOf hashes a route name and an Idempotency-Key.
func KeyOf(route, idempotencyKey string) Hash {
	digest := sha256.New()
	writePart(digest, []byte(route))
	writePart(digest, []byte(idempotencyKey))
	return sum(digest)
}

// FingerprintOf hashes what makes two requests the same request.
func FingerprintOf(method, path, query string, body []byte) Hash {
	digest := sha256.New()
	writePart(digest, []byte(method))
	writePart(digest, []byte(path))
	writePart(digest, []byte(query))
	writePart(digest, body)
	return sum(digest)
}

// writePart writes a length before the part, so that no two lists of parts
// give the same bytes.
func writePart(w io.Writer, part []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(part)))
	w.Write(size[:])
	w.Write(part)
}

func sum(digest hash.Hash) Hash {
	var h Hash
	digest.Sum(h[:0])
	return h
}

// HomeOf returns a key's home among the manifest's data centres, or "".
func HomeOf(key Hash, dataCentres []string) string {
	top := rendezvous.Top(string(key[:]), dataCentres, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// ranked returns the ids of the key's holder and backup among instances; the
// absent ones are "".
func ranked(key Hash, instances []string) (holder, backup string) {
	top := rendezvous.Top(string(key[:]), instances, 2)
	if len(top) > 0 {
		holder = top[0]
	}
	if len(top) > 1 {
		backup = top[1]
	}
	return holder, backup
}
