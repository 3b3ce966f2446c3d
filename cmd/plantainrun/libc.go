//go:build cgo

package main

import "C" // links the binary against the C library
