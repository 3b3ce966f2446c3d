// Package buildinfo names the version of the binary.
package buildinfo

// Version is the release that the binary belongs to.
const Version = "0.1.0"
