package scale

import (
	"math"
	"strings"

	"mapleslip/internal/scale/wire"
)

// roleUsage sums up what the processes of a role used in the window.
type roleUsage struct {
	cpu, span, top       float64 // processor time and observed time in seconds, largest number of cores of one process
	memory, memoryTop, n float64 // MB
	in, out              float64 // bytes
	sockets, socketsTop  float64
	socketSamples        float64
}

// add adds the usage of one process. previous is that of the sample before, a time of span seconds
// ago, nil if there is none.
func (u *roleUsage) add(now, previous *usage, span float64) {
	u.n++
	memory := float64(now.rss) / 1e6
	u.memory += memory
	u.memoryTop = max(u.memoryTop, memory)
	if now.sockets >= 0 {
		u.sockets += float64(now.sockets)
		u.socketSamples++
		u.socketsTop = max(u.socketsTop, float64(now.sockets))
	}
	if previous == nil {
		return
	}
	cpu := (now.cpu - previous.cpu).Seconds()
	u.cpu += cpu
	u.span += span
	u.in += float64(now.in - previous.in)
	u.out += float64(now.out - previous.out)
	u.top = max(u.top, cpu/span)
}

// addRows adds the rows of a role.
func (u *roleUsage) addRows(rows map[string]float64, role string) {
	if u.span > 0 {
		rows[role+" cores"] = u.cpu / u.span
		rows[role+" cores, largest second"] = u.top
		rows[role+" bytes in per s"], rows[role+" bytes out per s"] = u.in/u.span, u.out/u.span
	}
	rows[role+" memory MB"] = u.memory / u.n
	rows[role+" memory MB, largest"] = u.memoryTop
	if u.socketSamples > 0 {
		rows[role+" sockets"] = u.sockets / u.socketSamples
		rows[role+" sockets, largest"] = u.socketsTop
	}
}

// counterSums sums up the growth of the controllers' counters in the window.
type counterSums struct {
	rate                  map[string]float64 // by row, which begins with the role
	largest               map[string]float64 // longest times, by row
	leaderSpan, otherSpan float64            // observed time of the role's controllers, seconds
	stateCalls            float64
}

// add adds the growth of one controller's counters since the sample before, a time of span seconds ago.
func (c *counterSums) add(role string, now, previous *scrape, span float64) {
	if role == "leader" {
		c.leaderSpan += span
	} else {
		c.otherSpan += span
	}
	for what, pair := range map[string][2]map[string]float64{
		"calls": {now.calls, previous.calls}, "events": {now.steps, previous.steps},
		"step seconds": {now.stepSeconds, previous.stepSeconds}, "refused": {now.refused, previous.refused},
	} {
		for k, v := range pair[0] {
			c.rate[role+" "+what+" "+k] += growth(v, pair[1][k])
		}
	}
	for k, what := range map[string]string{"config_changes_total": "config revisions", "config_outdated_total": "config outdated"} {
		if d := now.other[k] - previous.other[k]; d > 0 {
			c.rate[role+" "+what] += d
		}
	}
	c.largest[role+" longest step s"] = max(c.largest[role+" longest step s"], now.longestStep)
	c.stateCalls += increase(now.calls, previous.calls, "state ")
	for _, what := range []string{"tick", "report", "state lease", "state commit"} {
		// After a restart of the process, counts are lower and no bucket has grown.
		k, d := role+" longest "+what+" s, at most", highestGrownBucket(now.histograms[what], previous.histograms[what])
		if math.IsInf(d, 1) { // above the highest finite bucket
			k, d = role+" longest "+what+" s, over", highestFiniteBucket(now.histograms[what])
		}
		c.largest[k] = max(c.largest[k], d)
	}
}

// growth returns by how much a counter has grown. One that is lower than before restarted at 0 with
// its process.
func growth(now, before float64) float64 {
	if now < before {
		return now
	}
	return now - before
}

// addRows adds the rates and the longest times.
func (c *counterSums) addRows(rows map[string]float64) {
	for k, v := range c.rate {
		span := c.otherSpan
		if strings.HasPrefix(k, "leader ") {
			span = c.leaderSpan
		}
		if span > 0 && v > 0 {
			rows[k+" per s"] = v / span
		}
	}
	for k, v := range c.largest {
		if v > 0 {
			rows[k] = v
		}
	}
}

// rows computes the averages and rates in the window: the resource usage of each role, the
// counters of the controllers, and the values that parts reported about themselves.
func (m *meter) rows(r *Report) {
	if m.began == 0 {
		return
	}
	from, to := m.began+int64(r.WindowS[0]*1e6), m.began+int64(r.WindowS[1]*1e6)
	roles := make(map[string]*roleUsage)
	counters := &counterSums{rate: make(map[string]float64), largest: make(map[string]float64)}
	var before *sample
	for _, s := range m.samples {
		if s.at < from || s.at >= to {
			continue
		}
		addSample(roles, counters, s, before)
		before = s
	}
	for role, u := range roles {
		u.addRows(r.Rows, role)
	}
	counters.addRows(r.Rows)
	m.partRows(r, from, to)
	addChangeRows(r.Rows, counters)
	addWorkerRow(r.Rows)
	r.addRunRows()
}

// addSample adds a sample. before is the one before it in the window, nil for the first one.
func addSample(roles map[string]*roleUsage, counters *counterSums, s, before *sample) {
	leader := leaderOf(s.scraped)
	span := 0.0
	if before != nil {
		span = float64(s.at-before.at) / 1e6
	}
	for p, u := range s.usage {
		role := roleOf(p, leader)
		if roles[role] == nil {
			roles[role] = &roleUsage{}
		}
		var previous *usage
		if before != nil {
			if was, ok := before.usage[p]; ok {
				previous = &was
			}
		}
		roles[role].add(&u, previous, span)
	}
	if before == nil {
		return
	}
	for name, now := range s.scraped {
		role := "controller"
		if name == leader {
			role = "leader"
		}
		if previous := before.scraped[name]; previous != nil {
			counters.add(role, now, previous, span)
		}
	}
}

// addChangeRows adds the cost of a change of the configuration. These rows contain all calls and writes
// of the run. The cost of the changes alone is the difference from a run without changes.
func addChangeRows(rows map[string]float64, c *counterSums) {
	n := c.rate["leader config revisions"]
	if n == 0 || c.leaderSpan == 0 {
		return
	}
	rows["run state calls by change, all of them"] = c.stateCalls / n
	rows["run state writes by change, all of them"] = rows[wire.RoleStandins+" state_writes per s"] / (n / c.leaderSpan)
}

// addWorkerRow adds what the control of a real worker costs.
func addWorkerRow(rows map[string]float64) {
	worker := 0.0
	for _, k := range []string{"hello_in", "hello_out", "commands_in", "commands_out"} {
		worker += rows[wire.RoleWorker+" "+k+"_bytes per s"]
	}
	if worker > 0 {
		rows["worker control bytes per s, both ways"] = worker
	}
}

// addRunRows adds the starts and the running tasks of the run.
func (r *Report) addRunRows() {
	starts, running, n := 0, 0, 0
	for _, s := range r.Seconds {
		if float64(s.T) >= r.WindowS[0] && float64(s.T) < r.WindowS[1] {
			starts += s.Starts
			running += s.Running
			n++
		}
	}
	if n > 0 {
		r.Rows["run starts per s"], r.Rows["run tasks running"] = float64(starts)/float64(n), float64(running)/float64(n)
	}
}

// increase returns the total growth of the counters whose names have the prefix.
func increase(now, before map[string]float64, prefix string) (sum float64) {
	for k, v := range now {
		if strings.HasPrefix(k, prefix) {
			sum += growth(v, before[k])
		}
	}
	return sum
}

// gaugeNames are the values reported by parts that are gauges. All others are counters, except
// for names that end with _max or _p99, of which the largest value is kept.
var gaugeNames = map[string]bool{
	"state_keys": true, "state_bytes": true, "state_leases": true, "state_watches": true, "state_connections": true,
	"cloud_machines": true, "cloud_free_slots": true, "cloud_connections": true, "connections": true, "in_flight": true, "healthy": true,
	"workers": true, "tasks_on": true, "tasks_running": true, "tasks_reported": true, "listeners": true, "links_open": true,
}

// partSums sums up the values that the parts of each role reported, by row.
type partSums map[string]*partSum

type partSum struct{ sum, n float64 }

// add adds a value of one process: to the sum of the role, or to the mean if mean is set.
func (s partSums) add(row string, v float64, mean bool) {
	if s[row] == nil {
		s[row] = &partSum{}
	}
	s[row].sum += v
	if s[row].n++; !mean {
		s[row].n = 1
	}
}

// raise keeps the largest value of all processes.
func (s partSums) raise(row string, v float64) {
	if s[row] == nil || s[row].sum < v {
		s[row] = &partSum{v, 1}
	}
}

// addPart adds the values that one process of a role reported in the window.
func (s partSums) addPart(role string, reported []gauge) {
	first, last := reported[0], reported[len(reported)-1]
	span := float64(last.at-first.at) / 1e6
	isWorker := role == wire.RoleWorker
	for key := range last.values {
		sum, top := 0.0, 0.0
		for _, g := range reported {
			sum += g.values[key]
			top = max(top, g.values[key])
		}
		switch row := role + " " + key; {
		case strings.HasSuffix(key, "_max") || strings.HasSuffix(key, "_p99"):
			s.raise(row, top)
		case gaugeNames[key]:
			s.add(row, sum/float64(len(reported)), isWorker)
		default:
			s.add(row+" per s", (last.values[key]-first.values[key])/span, isWorker)
		}
	}
}

// partRows adds the values that parts reported about themselves: averages of gauges and rates of
// counters. They are summed over the processes of a role, but averaged for real workers, to show
// the cost of a single worker.
func (m *meter) partRows(r *Report, from, to int64) {
	sums := partSums{}
	for name, list := range m.gauges {
		var reported []gauge
		for _, g := range list {
			if g.at >= from && g.at < to {
				reported = append(reported, g)
			}
		}
		if len(reported) >= 2 {
			sums.addPart(m.parts[name].role, reported)
		}
	}
	for row, p := range sums {
		if p.sum != 0 {
			r.Rows[row] = p.sum / p.n
		}
	}
}
