package controller

import (
	"strconv"

	"mapleslip/internal/protocol"
	"mapleslip/internal/state"
)

// The records that hosts, launches, bookings and completions share.

// launchBytes is what a launch may take in a record. Tasks of a job come
// together mostly; a record that comes out too long is split.
func launchBytes(a *state.Attempt) int { return len(a.Host.Name) + 24 }

// recordLaunch asks for the record of a launch.
func (c *Controller) recordLaunch(a *state.Attempt, due micros) {
	t := c.term
	name := a.Name.TaskName.String()
	t.launches[name] = a
	t.launchPages.put(name, launchBytes(a), c.room(), due, due < protocol.Forever)
}

// launchDue is when the record of a launch has to be written: at once, unless final records
// wait in line. Then one of launches does not follow the last one sooner than that takes, up
// to a second. Jobs of one task that come several a second had one written for each, a
// quarter of all changes, while others' launches and their own ends had to wait. A class
// with an aim on starting does not wait.
func (c *Controller) launchDue(s *protocol.JobSpec) micros {
	t, at := c.term, c.at.Steady
	if c.startWithin(s.Class) > 0 || at-t.finals.at > endingsLately {
		return at
	}
	return max(at, t.launchesSent+min(t.finals.took, mostLaunchWait))
}

// launchRecord makes the record that some launches share. What is over falls
// out of it.
func (c *Controller) launchRecord(names []string) ([]byte, func()) {
	t := c.term
	var list []state.Launch
	var attempts []*state.Attempt
	for _, name := range names {
		a := t.launches[name]
		if a == nil || !a.State.HoldsResources() {
			delete(t.launches, name)
			t.launchPages.drop(name, protocol.Forever)
			continue
		}
		list, attempts = append(list, state.Launch{Name: a.Name, Host: a.Host.Name}), append(attempts, a)
	}
	return state.EncodeLaunches(list), func() {
		for _, a := range attempts {
			if !a.Recorded {
				a.Recorded = true
				c.wantCall(a.Host)
			}
		}
	}
}

// Bytes that entries may take in the records they share.
func hostBytes(h *state.Host) int {
	return len(h.Name) + len(h.Addr) + len(h.TypeName) + len(h.Zone) + 40
}

func bookingBytes(ref string) int { return len(ref) + 24 }

// room is how much of a record entries may take; in a host's some is left for
// images, which are written as far as they fit.
func (c *Controller) room() int { return c.limits.target.valueBytes - 200 }

func (c *Controller) hostRoom() int { return c.limits.target.valueBytes * 6 / 10 }

// record asks for a host's record. Nothing is launched on a host before: a
// successor must know where tasks may be.
func (c *Controller) record(h *state.Host) {
	if !h.Recorded {
		c.term.hostPages.put(h.Name, hostBytes(h), c.hostRoom(), c.at.Steady, true)
	}
}

// hostRecord makes the record that some hosts share.
func (c *Controller) hostRecord(names []string) ([]byte, func()) {
	t := c.term
	var hosts []*state.Host
	for _, name := range names {
		if h := t.book.Host(name); h != nil {
			if h.RecordedWall == 0 {
				h.RecordedWall = c.at.Wall
			}
			h.ImagesUnrecorded = false
			hosts = append(hosts, h)
		}
	}
	value := state.EncodeHosts(hosts, true)
	if len(value) > c.limits.target.valueBytes {
		value = state.EncodeHosts(hosts, false)
	}
	return value, func() {
		for _, h := range hosts {
			if !h.Recorded {
				h.Recorded = true
				t.dirty = true
				c.wantCall(h)
			}
			if h.LegacyRecord {
				h.LegacyRecord = false
				t.orphans = append(t.orphans, state.LegacyHostPrefix+h.Name)
			}
		}
	}
}

// imagesEvery is how often the images of hosts are recorded anew where they take few records. Which ones a
// host has is worth knowing after a take-over, but nothing depends on it.
const imagesEvery = 10 * protocol.Second

// imagesShare is the part of the rate of changes that records of hosts may take for that.
// Small records are many, and with each machine's images changing all the time they took a
// fifth of 24 changes a second.
const imagesShare = 0.1

// imagesAfter is how long after one time the images are recorded the next time, so that all
// records of hosts take no more than their part of a rate.
func imagesAfter(records int, rate float64) micros {
	return max(imagesEvery, protocol.FromSeconds(float64(records)/(rate*imagesShare)))
}

func (c *Controller) recordImages() {
	t := c.term
	if c.at.Steady < t.nextImages {
		return
	}
	t.nextImages = c.at.Steady + imagesAfter(len(t.hostPages.list), c.writeRate())
	for _, h := range t.book.Hosts() {
		if h.Recorded && h.ImagesUnrecorded && h.State == state.HostReady {
			t.hostPages.put(h.Name, hostBytes(h), c.hostRoom(), c.at.Steady, false)
		}
	}
}

// bookingRecord makes the record that some bookings share.
func (c *Controller) bookingRecord(refs []string) ([]byte, func()) {
	t := c.term
	return state.EncodeBookings(refs, func(ref string) micros {
		if j := t.book.Job(ref); j != nil {
			return j.BookedStart - c.at.Steady + c.at.Wall
		}
		return 0
	}), nil
}

// doneRecord makes the record of completions that some arrays share.
func (c *Controller) doneRecord(refs []string) ([]byte, func()) {
	t := c.term
	var jobs []*state.Job
	var tasks [][]int
	for _, ref := range refs {
		j := t.book.Job(ref)
		if j == nil || j.State != state.JobActive {
			t.donePages.drop(ref, protocol.Forever) // its final record covers it
			continue
		}
		jobs, tasks = append(jobs, j), append(tasks, j.CompletedNotDurable(0, len(j.Tasks)))
	}
	return state.EncodeCompletions(jobs), func() {
		for i, j := range jobs {
			for _, k := range tasks[i] {
				j.Tasks[k].Durable = true
			}
		}
	}
}

// record is the key of the record.
func (k chunkKey) record() string {
	return state.ChunkPrefix + k.ref + "/" + strconv.Itoa(k.chunk)
}
