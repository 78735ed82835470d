package simulation

import "mapleslip/internal/protocol"

// Machines whose worker can't open connections to any controller (outboundCut), while direct
// commands and status requests still reach it and are answered. Heartbeats don't arrive, so the
// worker's lease expires although each controller can query which tasks are on the machine.

// actMute: drop-outbound MACHINE|zone=ZONE|all, allow-outbound MACHINE|zone=ZONE|all: sets or
// clears outboundCut on one machine, those of a zone or all. It ignores a machine that is gone.
func (w *World) actMute(words []string) error {
	zone := options(words[1:])["zone"]
	for _, m := range w.sortedMachines() {
		if words[1] == "all" || m.name == words[1] || zone != "" && m.zone == zone {
			m.outboundCut = words[0] == "drop-outbound"
		}
	}
	return nil
}

// failToConnect handles a heartbeat for which the worker can't open a connection: it tries the next
// controller a second later.
func (w *World) failToConnect(m *machine) {
	w.after(w.delay(), func() {
		m.inFlight = false
		m.nodeIndex++
		m.nextReport = w.now + protocol.Second
	})
}
