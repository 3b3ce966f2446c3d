// Package mesh connects entry hosts with each other over TCP, with mutual TLS,
// yamux streams and protobuf messages.
//
// Every host maintains a few long-lived connections, called links (see Links).
// Connections to other hosts on the host list are opened on demand and closed
// when idle. Only hosts on the list are dialled and accepted, and with TLS a
// host needs a certificate for its id. A heartbeat closes a connection on which
// nothing arrives, and the next use dials a new one.
//
// A stream is opened in two steps: Open sends the method name and returns only
// after the peer has accepted it. An unresponsive connection is therefore
// detected before the first byte of a request is sent, and an error that matches
// ErrNotSent guarantees that no byte of the request can have reached the peer.
package mesh
