// Package endless is a server for tests whose answers do not end.
package endless

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strconv"
)

// MaxHeadCost is the memory, in bytes, that one head may take while it is read: at 4,000
// connections of which one in forty gets such a head it fits in a host's memory.
const MaxHeadCost = 2 << 20

// size is the length of an answer in bytes: more than any reader should take.
const size = 12 << 20

// ListenHeads serves answers whose heads do not end, each line of them a new name. stop ends it.
func ListenHeads() (addr netip.AddrPort, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	head := Head("HTTP/1.1 200 OK\r\n")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // closed by stop
			}
			go answer(conn, head)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String()), func() { _ = listener.Close() }, nil
}

// Head returns first and lines that do not end, each of them a new name.
func Head(first string) []byte {
	out := []byte(first)
	for line := 0; len(out) < size; line++ {
		out = strconv.AppendInt(out, int64(line), 36)
		out = append(out, ":\n"...)
	}
	return out
}

func answer(conn net.Conn, answer []byte) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = conn.Write(answer) // fails once the reader has had enough
}

// Allocated returns the bytes that the process allocates during a call.
func Allocated(call func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	call()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
