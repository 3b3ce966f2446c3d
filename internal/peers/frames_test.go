package peers

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
)

// countingConn records the size of each write to a connection.
type countingConn struct {
	net.Conn
	sizes []int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.sizes = append(c.sizes, len(p))
	return c.Conn.Write(p)
}

func TestFrameHeaderIsWrittenWithBody(t *testing.T) {
	g := NewWithT(t)
	near, far := tcpPair(g)
	counted := &countingConn{Conn: near}
	frames := &frameConn{Conn: counted}
	header := make([]byte, frameHeaderSize)
	header[frameHeaderSize-1] = 5
	n, err := frames.Write(header)
	g.Expect(n, err).To(Equal(frameHeaderSize))
	g.Expect(counted.sizes).To(BeEmpty())
	n, err = frames.Write([]byte("hello"))
	g.Expect(n, err).To(Equal(5))
	got := make([]byte, frameHeaderSize+5)
	_, err = io.ReadFull(far, got)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(append(header, "hello"...)))
}

// Frames without a body, such as window updates, must not be buffered, or the
// transfer of several windows would block.
func TestYamuxWorksOverMergedFrames(t *testing.T) {
	g := NewWithT(t)
	near, far := tcpPair(g)
	client, err := yamux.Client(&frameConn{Conn: near}, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	server, err := yamux.Server(&frameConn{Conn: far}, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	defer server.Close()
	out, err := client.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	const size = 4 << 20 // several windows
	go out.Write(make([]byte, size))
	in, err := server.AcceptStream()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(in.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	n, err := io.ReadFull(in, make([]byte, size))
	g.Expect(n, err).To(Equal(size))
}

func tcpPair(g *WithT) (near, far net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	near, err = net.Dial("tcp", l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	far, err = l.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	return near, far
}
