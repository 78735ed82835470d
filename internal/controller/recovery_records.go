package controller

import (
	"strconv"
	"strings"

	"mapleslip/internal/configuration"
	"mapleslip/internal/featuregate"
	"mapleslip/internal/leadership"
	"mapleslip/internal/protocol"
	"mapleslip/internal/records"
	"mapleslip/internal/rollout"
	"mapleslip/internal/state"
)

// recordLoader loads the records for a new term. Entries that depend on other records are kept
// until all records have been read. A record that can't be decoded is logged, and is never handled
// like an empty one.
type recordLoader struct {
	*recovery
	t *leaderTerm

	pending      int    // the number of prefixes that have not been read yet
	jobsRevision uint64 // the revision at which the job records were read
	// unreadable is set if a record can't be decoded that lists where tasks may be. Placing tasks
	// without it would run some of them twice.
	unreadable bool

	bookings    map[string]micros           // booked starts as times of day, by job
	completions map[string][][]byte         // by job, which two records contain during a split
	chunks      map[string][]protocol.Entry // completions of large arrays, by job
	launches    map[string]recordedLaunch   // by task
}

// recordedLaunch is a launch and the record that contains it.
type recordedLaunch struct {
	records.Launch
	shard *recordShard
}

// recordReader is the function that handles each record under a prefix.
type recordReader struct {
	prefix string
	read   func(protocol.Entry)
}

func newRecordLoader(rc *recovery, t *leaderTerm) *recordLoader {
	return &recordLoader{
		recovery: rc, t: t, bookings: make(map[string]micros), completions: make(map[string][][]byte),
		chunks: make(map[string][]protocol.Entry), launches: make(map[string]recordedLaunch),
	}
}

// readers lists the prefixes to read, with the functions that handle their records.
func (l *recordLoader) readers() []recordReader {
	readers := []recordReader{
		{records.KeyMachineTypes, l.readMachineTypes},
		{records.KeyHandover, l.readHandover},
		{records.HostShardPrefix, l.readHosts},
		{records.LegacyHostPrefix, l.readLegacyHost},
		{records.BookingShardPrefix, l.readBookings},
		{records.LegacyBookingPrefix, l.readLegacyBooking},
		{records.CompletionShardPrefix, l.readCompletions},
		{records.LaunchShardPrefix, l.readLaunches},
		{records.ChunkPrefix, l.readChunk},
		{records.JobPrefix, func(e protocol.Entry) { l.t.jobs.observeJobRecord(e) }},
	}
	if l.features.state != nil {
		readers = append(readers, recordReader{featuregate.KeyLevel, l.readLevel})
	}
	if l.t.rollouts.manager != nil {
		readers = append(readers, recordReader{rollout.Prefix, l.rollouts.readRolloutRecord})
	}
	if l.config.state != nil {
		readers = append(readers, recordReader{configuration.KeyHead, l.config.readHeadRecord})
	}
	return readers
}

// read reads the records under a prefix. When the last prefix has been read, it applies the loaded
// records.
func (l *recordLoader) read(r recordReader) {
	startedAt := l.now.Steady
	onEntry := func(e protocol.Entry) {
		if !l.t.ended() { // the lease may have expired before the answer arrived
			r.read(e)
		}
	}
	l.store.List(priorityLeadership, r.prefix, onEntry, func(revision uint64, err error) {
		switch {
		case l.t.ended():
		case l.unreadable:
			l.election.followAfter(damagedRecordRetry)
		case err != nil:
			l.after(recordReadRetry, func() {
				if !l.t.ended() {
					l.read(r)
				}
			})
		default:
			l.t.recoveryStages = append(l.t.recoveryStages, SpanStage{"read " + r.prefix, startedAt, l.now.Steady})
			if r.prefix == records.JobPrefix {
				l.jobsRevision = revision
			}
			l.pending--
			if l.pending == 0 {
				l.apply()
			}
		}
	})
}

// apply applies the entries that depend on several records, and finishes the recovery.
func (l *recordLoader) apply() {
	l.applyBookings()
	l.applyCompletions()
	l.applyChunks()
	l.finish(l.jobsRevision, l.launches)
}

func (l *recordLoader) readMachineTypes(e protocol.Entry) {
	if e.Key == records.KeyMachineTypes {
		l.catalog.applyMachineTypesRecord(e.Value)
	}
}

func (l *recordLoader) readHandover(e protocol.Entry) {
	if e.Key != records.KeyHandover {
		return
	}
	h, err := records.DecodeHandover(e.Value)
	if err != nil {
		l.logDamagedRecord(e, err) // the new leader observes the state of hosts itself
		return
	}
	l.membership.handover = leadership.Newest(l.membership.handover, h)
}

func (l *recordLoader) readHosts(e protocol.Entry) {
	hosts, err := records.DecodeHosts(l.now.Steady, e.Value)
	if err != nil {
		l.onUnreadable(e, err)
		return
	}
	shards := l.t.records.hostShards
	shard := shards.addStored(e)
	for _, h := range hosts {
		l.addHost(h)
		shards.assignStored(shard, h.Name, hostRecordSize(h))
	}
}

func (l *recordLoader) readLegacyHost(e protocol.Entry) {
	h, err := records.DecodeLegacyHost(l.now.Steady, strings.TrimPrefix(e.Key, records.LegacyHostPrefix), e.Value)
	if err != nil {
		l.onUnreadable(e, err)
		return
	}
	h.Record.Legacy = true
	l.addHost(h)
}

func (l *recordLoader) addHost(h *state.Host) {
	h.Agent.LeaseRenewedAt = l.election.lease.predecessorAnswersUntil
	h.Agent.LastContact = l.now.Steady
	if l.t.cluster.Host(h.Name) == nil {
		l.t.cluster.AddHost(h)
	}
}

// onUnreadable handles an undecodable record that may contain the only information on some tasks.
func (l *recordLoader) onUnreadable(e protocol.Entry, err error) {
	l.logDamagedRecord(e, err)
	l.unreadable = true
}

func (l *recordLoader) readBookings(e protocol.Entry) {
	shards := l.t.records.bookingShards
	starts, err := records.DecodeBookings(e.Value)
	if err != nil {
		l.logDamagedRecord(e, err) // the scheduler plans the bookings again
		shards.reserveNumber(e.Key)
		return
	}
	shard := shards.addStored(e)
	for ref, start := range starts {
		shards.assignStored(shard, ref, bookingRecordSize(ref))
		l.bookings[ref] = start
	}
}

func (l *recordLoader) readLegacyBooking(e protocol.Entry) {
	l.t.records.orphanedKeys = append(l.t.records.orphanedKeys, e.Key)
	start, err := strconv.ParseInt(string(e.Value), 10, 64)
	if err != nil {
		l.logDamagedRecord(e, err)
		return
	}
	l.bookings[strings.TrimPrefix(e.Key, records.LegacyBookingPrefix)] = micros(start)
}

func (l *recordLoader) readCompletions(e protocol.Entry) {
	shards := l.t.records.completionShards
	byJob, err := records.DecodeCompletions(e.Value)
	if err != nil {
		l.logDamagedRecord(e, err) // the tasks run again
		shards.reserveNumber(e.Key)
		return
	}
	shard := shards.addStored(e)
	for ref, chunk := range byJob {
		shards.assignStored(shard, ref, storedCompletionSize(ref, chunk))
		l.completions[ref] = append(l.completions[ref], chunk)
	}
}

func (l *recordLoader) readLaunches(e protocol.Entry) {
	launches, err := records.DecodeLaunches(e.Value)
	if err != nil {
		l.onUnreadable(e, err)
		return
	}
	shard := l.t.records.launchShards.addStored(e)
	for _, launch := range launches {
		// A record that has not been rewritten may still contain an earlier launch of a task.
		// The launch in the record with the higher revision is the current one.
		task := launch.Name.String()
		if known, ok := l.launches[task]; !ok || known.shard.revision < shard.revision {
			l.launches[task] = recordedLaunch{launch, shard}
		}
	}
}

func (l *recordLoader) readChunk(e protocol.Entry) {
	ref, _, _ := strings.Cut(strings.TrimPrefix(e.Key, records.ChunkPrefix), "/")
	l.chunks[ref] = append(l.chunks[ref], e)
}

func (l *recordLoader) readLevel(e protocol.Entry) {
	if !l.features.readLevelRecord(e) {
		l.unreadable = true
	}
}

func (l *recordLoader) applyBookings() {
	rs := l.t.records
	for ref, start := range l.bookings {
		j := l.t.cluster.Job(ref)
		if j == nil {
			rs.bookingShards.drop(ref, protocol.Forever)
			continue
		}
		j.Booking.Start, j.Booking.Persisted = l.steadyTime(start), true
		rs.bookingShards.put(ref, bookingRecordSize(ref), rs.shardCapacity(), protocol.Forever, false)
	}
}

func (l *recordLoader) applyCompletions() {
	shards := l.t.records.completionShards
	for ref, chunks := range l.completions {
		j := l.t.cluster.Job(ref)
		if j == nil {
			shards.drop(ref, protocol.Forever)
			continue
		}
		for _, chunk := range chunks {
			if err := records.ApplyChunk(j, 0, chunk); err != nil {
				l.log.Error("damaged record", "key", shards.shardOf[ref].key, "job", ref, "err", err)
			}
		}
	}
}

func (l *recordLoader) applyChunks() {
	for ref, entries := range l.chunks {
		j := l.t.cluster.Job(ref)
		for _, e := range entries {
			if j == nil {
				l.t.records.orphanedKeys = append(l.t.records.orphanedKeys, e.Key)
			}
			chunk, err := strconv.Atoi(e.Key[strings.LastIndexByte(e.Key, '/')+1:])
			if j != nil && err == nil {
				j.SetChunkRevision(chunk, e.Revision)
				err = records.ApplyChunk(j, chunk, e.Value)
			}
			if err != nil {
				l.logDamagedRecord(e, err)
			}
		}
	}
}
