package peers

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
)

// slowClose is a connection that closes only when it is released, as one does whose writer has
// to return first.
type slowClose struct {
	net.Conn
	released chan struct{}
}

// Close implements net.Conn.
func (c *slowClose) Close() error {
	<-c.released
	return c.Conn.Close()
}

// A reader of a lost session must not wait for the connection to close: yamux has it poll
// without a pause until then.
func TestReaderOfALostSessionDoesNotWaitForTheConnectionToClose(t *testing.T) {
	g := NewWithT(t)
	near, far := net.Pipe()
	conn := &slowClose{near, make(chan struct{})}
	defer close(conn.released)
	server, err := yamux.Server(&frameConn{Conn: conn}, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	client, err := yamux.Client(&frameConn{Conn: far}, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	out, err := client.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _, _ = out.Write([]byte{1}) }()
	stream, err := server.AcceptStream()
	g.Expect(err).NotTo(HaveOccurred())
	ended := make(chan error, 1)
	go func() {
		for {
			if _, err := stream.Read(make([]byte, 16)); err != nil {
				ended <- err
				return
			}
		}
	}()
	g.Expect(far.Close()).To(Succeed())
	g.Eventually(ended, 5*time.Second).Should(Receive())
}
