package engineapi

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the size of the prompt blocks in the engines' prefix cache.
const PrefixBlockBytes = 4096

// PrefixHashes returns the hashes by which engines identify the block-aligned
// prefixes of a prompt, shortest first: entry i is the xxHash64 of the first
// (i+1)*PrefixBlockBytes bytes. The result is empty for a prompt shorter than one
// block.
func PrefixHashes(prompt string) []uint64 {
	var d xxhash.Digest
	d.Reset()
	hashes := make([]uint64, 0, len(prompt)/PrefixBlockBytes)
	for end := PrefixBlockBytes; end <= len(prompt); end += PrefixBlockBytes {
		_, _ = d.WriteString(prompt[end-PrefixBlockBytes : end])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}
