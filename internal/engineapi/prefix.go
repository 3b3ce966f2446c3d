package engineapi

import "github.com/cespare/xxhash/v2"

// PrefixBlockBytes is the length of the prompt blocks that engines cache.
const PrefixBlockBytes = 4096

// PrefixHashes returns the hashes by which engines name a prompt's leading
// whole blocks, shortest first: entry i is the xxHash64 of the first
// (i+1)*PrefixBlockBytes bytes. A prompt shorter than a block has none.
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
