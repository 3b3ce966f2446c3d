package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PromptHash is what an answer's text is derived from.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token is the token at offset of the answer to the prompt of this hash.
func Token(promptHash uint64, offset int) string {
	const tokenSpace = 1 << 30
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], promptHash)
	binary.BigEndian.PutUint64(b[8:], uint64(offset))
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])%tokenSpace, 36)
}

// ResponseText is the whole answer of so many tokens to a prompt.
func ResponseText(prompt string, tokens int) string {
	hash := PromptHash(prompt)
	var s strings.Builder
	for i := range tokens {
		s.WriteString(Token(hash, i))
	}
	return s.String()
}
