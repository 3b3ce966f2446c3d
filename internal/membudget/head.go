package membudget

import "net/http"

const (
	// MaxResponseHeadBytes is the largest head of a response that is read.
	MaxResponseHeadBytes = 64 << 10
	// headCopies is how often a head is in memory: as it was read, as it is passed on, and as
	// it is sent.
	headCopies = 3
	// HeadReadCost is the memory, in bytes, for each byte of a head while it is read: a line
	// without a value becomes an entry of a map, in each copy.
	HeadReadCost = 28 * headCopies
	// headLineCost is the memory, in bytes, for a line of a head that has been read, beside its
	// text.
	headLineCost = 160
)

// HeadCost returns the memory that the copies of a head take once it has been read, in bytes.
func HeadCost(h http.Header) int {
	bytes := 0
	for name, values := range h {
		for _, value := range values {
			bytes += headCopies * (headLineCost + len(name) + len(value))
		}
	}
	return bytes
}
