package simulation

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
)

// maxMachinesPerRental is the largest count of machines in one rental request.
const maxMachinesPerRental = 50

// serveCloud carries out one request to the cloud.
func (w *World) serveCloud(method, target string, body []byte) (int, string) {
	if w.cloudDown {
		return http.StatusServiceUnavailable, `{"error":"trouble"}`
	}
	path, _, _ := strings.Cut(target, "?")
	if method != http.MethodGet && !w.checkMessage("request to the cloud", checkCloudRequest(path, body)) {
		return http.StatusBadRequest, `{"error":"malformed"}`
	}
	switch {
	case path == "/machine_types":
		return http.StatusOK, string(protocol.AppendMachineTypes(nil, w.Types))
	case path == "/machines" && method == http.MethodGet:
		return http.StatusOK, w.listMachines()
	case path == "/machines":
		return w.rentMachines(body)
	case path == "/machines/release":
		w.releaseMachines(body)
		return http.StatusOK, `{}`
	}
	return http.StatusBadRequest, `{}`
}

// listMachines returns the machines that were rented at least listLag ago.
func (w *World) listMachines() string {
	var b strings.Builder
	b.WriteString(`{"hosts":[`)
	for _, m := range w.sortedMachines() {
		if w.now-m.rentedAt < w.listLag {
			continue
		}
		if b.Len() > len(`{"hosts":[`) {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"ref":%q,"addr":%q,"flavor":%q,"region":%q,"reclaimable":%t,"phase":%q,"heldS":%g}`,
			m.name, w.workerAddr(m), m.typ, m.zone, m.spot, m.phase, (w.now - m.rentedAt).Seconds())
	}
	b.WriteString(`],"truncated":false}`)
	return b.String()
}

// rentMachines rents machines, fewer than requested if the capacity does not suffice. A repeated
// claim gets the earlier answer.
func (w *World) rentMachines(body []byte) (int, string) {
	claim := fastjson.GetString(body, "claim")
	if old, ok := w.claims[claim]; ok {
		return http.StatusOK, old
	}
	if w.noCapacity {
		return http.StatusServiceUnavailable, `{"error":"no capacity"}`
	}
	count := fastjson.GetInt(body, "count")
	if count > maxMachinesPerRental {
		w.reportViolation("%d machines asked for at once", count)
	}
	if w.capacity != nil {
		if count = w.takeCapacity(body, count); count == 0 {
			return http.StatusServiceUnavailable, `{"error":"no capacity"}`
		}
	}
	var names []string
	for range count {
		names = append(names, fmt.Sprintf("%q", w.rentMachine(body).name))
	}
	w.rented += len(names)
	w.claims[claim] = `{"hosts":[` + strings.Join(names, ",") + `]}`
	return http.StatusOK, w.claims[claim]
}

// takeCapacity takes up to count machines from the capacity of the kind that a rental request names,
// and returns how many it has taken.
func (w *World) takeCapacity(body []byte, count int) int {
	kind := fastjson.GetString(body, "flavor") + "/" + fastjson.GetString(body, "region")
	if fastjson.GetBool(body, "reclaimable") {
		kind += "/spot"
	}
	count = min(count, w.capacity[kind])
	if count == 0 {
		w.note("none left of %s", kind)
	}
	w.capacity[kind] -= count
	return count
}

// rentMachine adds a machine of the kind that a rental request names, which begins to boot.
func (w *World) rentMachine(body []byte) *machine {
	name := fmt.Sprintf("n-%06d", 500000+len(w.machines)+w.released)
	m := w.addMachine(name, fastjson.GetString(body, "flavor"), fastjson.GetString(body, "region"), fastjson.GetBool(body, "reclaimable"))
	m.phase, m.bootEnds = "booting", w.now+micros(float64(w.typeOf(m).BootTime)*w.bootFactor)
	if w.bootFactor == 0 {
		m.bootEnds = protocol.Forever
	}
	return m
}

// releaseMachines removes machines with everything on them. Unknown names are ignored.
func (w *World) releaseMachines(body []byte) {
	for _, n := range fastjson.MustParseBytes(body).GetArray("hosts") {
		name := string(n.GetStringBytes())
		m := w.machines[name]
		if m == nil {
			continue
		}
		for _, t := range m.sorted() {
			w.taskStopped(m, t)
		}
		m.phase = "gone"
		delete(w.machines, name)
		w.sortedByName = nil
		w.released++
		w.note("%s is released", name)
	}
}
