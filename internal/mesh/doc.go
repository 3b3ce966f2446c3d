// Package mesh links entry hosts with each other: TCP, mutual TLS, yamux and
// protobuf messages.
//
// Every host holds a few long-lived links (see Links) and opens a connection to
// any other host on the list when it is asked to, which closes again when idle.
// Only hosts on the list are dialled and accepted, and with TLS a host must hold a
// certificate that names its id. A connection is judged by progress: a
// heartbeat without answer closes it, and the next use dials a new one.
//
// A stream is opened in two steps: the name of its method is acknowledged by the
// peer before Open returns. So a connection that went silent is found before
// the first byte of a request leaves, and errors that match ErrNotSent prove that
// no byte of the request can have reached the peer.
package mesh
