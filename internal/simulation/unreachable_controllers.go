package simulation

import "mapleslip/internal/protocol"

// A mute machine can't open connections to any controller, while direct commands and
// questions still reach it and are answered. Its reports get no answer, so its lease runs
// out although each controller can see what is on it.

// actMute begins or ends that for one machine, "all" of them, or those of a zone:
// mute n-000001, mute zone=a, mute all. A machine that is gone is left out.
func (w *World) actMute(words []string) error {
	zone := options(words[1:])["zone"]
	for _, m := range w.sortedMachines() {
		if words[1] == "all" || m.name == words[1] || zone != "" && m.zone == zone {
			m.mute = words[0] == "mute"
		}
	}
	return nil
}

// tryInVain is a report for which no connection can be opened.
func (w *World) tryInVain(m *machine) {
	w.after(w.delay(), func() {
		m.inFlight = false
		m.node++
		m.next = w.now + protocol.Second
	})
}
