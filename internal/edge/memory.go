package edge

import (
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/plantainrun/plantainrun/internal/membudget"
)

const (
	// heldFraction is the fraction of the process's memory that is held for others at most.
	// The rest is for connections, what the host knows, and memory that is not collected yet.
	heldFraction = 0.3
	// softLimitFraction is the fraction of the process's memory near which the garbage
	// collector runs more often.
	softLimitFraction = 0.75
	// callersFraction is the fraction of the descriptors that callers' connections may take:
	// each may have one to a target beside it. The rest is for hosts, the store and idle ones.
	callersFraction = 0.4
	// connsFraction is the fraction of the process's memory that callers' connections may
	// take, and connBytes what one takes, with one to a target, beside what is accounted for.
	connsFraction = 0.25
	connBytes     = 40 << 10
)

// NewMemory returns the budget of what a host holds for callers, targets, hosts and the store.
func NewMemory(s Settings) *membudget.Budget { return membudget.New(s.heldBytes()) }

// heldBytes is the limit of what is held for others, or 0 for none.
func (s Settings) heldBytes() int64 { return int64(heldFraction * float64(s.MemoryBytes)) }

// maxCallerConns is the limit on callers' connections, by descriptors and by memory, or 0 for
// none.
func (s Settings) maxCallerConns() int {
	byDescriptors := int(callersFraction * float64(s.MaxDescriptors))
	byMemory := int(connsFraction * float64(s.MemoryBytes) / connBytes)
	switch {
	case byDescriptors == 0:
		return byMemory
	case byMemory == 0:
		return byDescriptors
	}
	return min(byDescriptors, byMemory)
}

// applyMemory applies the memory limit of the settings to the process.
func (h *Host) applyMemory(s Settings) {
	h.adapter.Memory.SetLimit(s.heldBytes())
	if s.MemoryBytes <= 0 {
		h.log.Warn("no memory limit is set, so what is held for others is not limited; set it in the settings")
		return
	}
	debug.SetMemoryLimit(int64(softLimitFraction * float64(s.MemoryBytes)))
	h.log.Info("memory limit", zap.Int64("process_bytes", s.MemoryBytes), zap.Int64("held_bytes", s.heldBytes()),
		zap.Int("caller_connections", s.maxCallerConns()), zap.Int64("caller_connection_bytes", int64(s.maxCallerConns())*connBytes))
}
