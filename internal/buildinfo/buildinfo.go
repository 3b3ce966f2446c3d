// Package buildinfo holds the version of the binary.
package buildinfo

// Version is the release version of the binary.
const Version = "0.1.0"
