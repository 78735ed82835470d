package simulation

import (
	"strconv"
	"strings"

	"github.com/valyala/fastjson"

	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
)

// A controller must write the machine and the launch, with its attempt, to records before it sends
// the launch command. The next leader would otherwise not have them, and could start the same
// task again or exceed a team's limit.

// recordedPages has the machines and launches in the records of the state service, by key.
type recordedPages struct {
	hosts    map[string]map[string]bool
	launches map[string]map[protocol.AttemptName]string
}

func (p *recordedPages) init() {
	p.hosts = make(map[string]map[string]bool)
	p.launches = make(map[string]map[protocol.AttemptName]string)
}

// update reads the machine and launch records that a transaction wrote.
func (p *recordedPages) update(writes []*fastjson.Value) {
	for _, change := range writes {
		key := string(change.GetStringBytes("set"))
		switch {
		case strings.HasPrefix(key, records.HostShardPrefix):
			p.hosts[key] = make(map[string]bool)
			hosts, _ := records.DecodeHosts(0, change.Get("data").MarshalTo(nil))
			for _, h := range hosts {
				p.hosts[key][h.Name] = true
			}
		case strings.HasPrefix(key, records.LaunchShardPrefix):
			p.launches[key] = make(map[protocol.AttemptName]string)
			launches, _ := records.DecodeLaunches(change.Get("data").MarshalTo(nil))
			for _, l := range launches {
				p.launches[key][l.Name] = l.Host
			}
		}
	}
}

func (p *recordedPages) hasHost(name string) bool {
	for _, page := range p.hosts {
		if page[name] {
			return true
		}
	}
	return false
}

func (p *recordedPages) hasLaunch(name protocol.AttemptName, host string) bool {
	for _, page := range p.launches {
		if page[name] == host {
			return true
		}
	}
	return false
}

// checkRecorded checks that the launches among the commands sent to a machine are in records.
func (w *World) checkRecorded(m *machine, body []byte) {
	if !strings.Contains(string(body), `"launch"`) {
		return
	}
	v, err := fastjson.ParseBytes(body)
	if err != nil {
		return
	}
	for _, order := range v.GetArray("orders") {
		if string(order.GetStringBytes("verb")) != "launch" {
			continue
		}
		ref, index, _ := strings.Cut(string(order.GetStringBytes("shard")), "/")
		task := protocol.TaskName{Job: ref}
		task.Index, _ = strconv.Atoi(index)
		name := protocol.AttemptName{TaskName: task, Number: order.GetUint64("try")}
		if !w.recorded.hasHost(m.name) && w.store.keys[records.LegacyHostPrefix+m.name] == nil {
			w.reportViolation("not recorded: %s, on which %s is launched", m.name, task)
		}
		if !w.recorded.hasLaunch(name, m.name) {
			w.reportViolation("not recorded: launch of %s on %s", task, m.name)
		}
	}
}
