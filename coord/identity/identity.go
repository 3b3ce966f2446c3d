// Package identity identifies processes. A host keeps its id when its process is
// replaced; an Incarnation identifies one process and is never reused.
package identity

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// Incarnation identifies one process by the id of its host and a random start id.
type Incarnation struct {
	Host  string `json:"host"`
	Start uint64 `json:"start"`
}

// New returns an incarnation of host with a new random start id.
func New(host string) (Incarnation, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return Incarnation{}, err
	}
	return Incarnation{Host: host, Start: binary.BigEndian.Uint64(b[:])}, nil
}

// IsZero reports whether the incarnation is the zero value, which identifies no process.
func (i Incarnation) IsZero() bool { return i.Host == "" && i.Start == 0 }

// String returns "host@start" with the start id in hexadecimal.
func (i Incarnation) String() string {
	return i.Host + "@" + strconv.FormatUint(i.Start, 16)
}

// Parse parses the format that String returns.
func Parse(s string) (Incarnation, error) {
	host, start, ok := strings.Cut(s, "@")
	if !ok || host == "" {
		return Incarnation{}, fmt.Errorf("incarnation %q is not of the form host@start", s)
	}
	n, err := strconv.ParseUint(start, 16, 64)
	if err != nil {
		return Incarnation{}, fmt.Errorf("incarnation %q has a start id that is not hexadecimal", s)
	}
	return Incarnation{Host: host, Start: n}, nil
}
