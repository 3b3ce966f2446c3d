package main

import (
	"io"
	"net"
	"sync"
)

// link is the way from one machine to one server: a proxy that can be cut.
type link struct {
	to   string
	addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	down     bool
}

// newLink opens a link to an address.
func newLink(to string) (*link, error) {
	l := &link{to: to, addr: freeAddr(), conns: make(map[net.Conn]bool)}
	if err := l.heal(); err != nil {
		return nil, err
	}
	return l, nil
}

// heal opens the link; it passes channels on from now on.
func (l *link) heal() error {
	listener, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.down = listener, false
	l.mu.Unlock()
	go l.accept(listener)
	return nil
}

// cut resets all channels and refuses new ones.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	_ = l.listener.Close()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(l.conns)
}

func (l *link) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.pass(conn)
	}
}

func (l *link) pass(conn net.Conn) {
	far, err := net.Dial("tcp", l.to)
	if err != nil {
		_ = conn.Close()
		return
	}
	l.mu.Lock()
	if l.down {
		l.mu.Unlock()
		_ = conn.Close()
		_ = far.Close()
		return
	}
	l.conns[conn], l.conns[far] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	copyTo := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		if tcp, ok := dst.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}
	both.Go(func() { copyTo(far, conn) })
	both.Go(func() { copyTo(conn, far) })
	both.Wait()
	_ = conn.Close()
	_ = far.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	delete(l.conns, far)
}
