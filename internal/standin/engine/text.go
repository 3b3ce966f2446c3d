package engine

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PromptHash returns the hash from which the tokens of the response are derived.
func PromptHash(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the token at offset in the response to the prompt with this hash.
func Token(promptHash uint64, offset int) string {
	const tokenSpace = 1 << 30
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], promptHash)
	binary.BigEndian.PutUint64(b[8:], uint64(offset))
	return " " + strconv.FormatUint(xxhash.Sum64(b[:])%tokenSpace, 36)
}

// ResponseText returns the complete response to a prompt, of the given length in
// tokens.
func ResponseText(prompt string, tokens int) string {
	hash := PromptHash(prompt)
	var s strings.Builder
	for i := range tokens {
		s.WriteString(Token(hash, i))
	}
	return s.String()
}
