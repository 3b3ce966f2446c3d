package engine_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/plantainrun/plantainrun/internal/loopback"
	"github.com/plantainrun/plantainrun/internal/standin/engine"
)

// An engine closes its port while it is down after a crash. Nobody else may get that
// port meanwhile: prompts for this engine would reach another one.
func TestEngineKeepsItsAddressWhileItIsDown(t *testing.T) {
	g := NewWithT(t)
	e := engine.New(engine.Settings{})
	g.Expect(e.Start()).To(Succeed())
	defer e.Close()
	next, err := loopback.FreeAddr()
	g.Expect(err).NotTo(HaveOccurred())
	own := e.Addr().(*net.TCPAddr).AddrPort()
	g.Expect(own.Addr()).To(Equal(next.Addr()), "an address that only this process uses")
}
