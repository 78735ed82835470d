package records

// Keys, and prefixes of keys, of the state service.
const (
	KeyLeader       = "lead"  // held by the leader's lease
	KeyEpoch        = "epoch" // counts the leaders
	KeyMachineTypes = "types"
	KeyHandover     = "seen" // what leaders have seen that their successors must know

	JobPrefix = "j/"
	// FinalPrefix is that of finished jobs. They leave JobPrefix, so that a new leader reads
	// only what it needs.
	FinalPrefix = "f/"
	ChunkPrefix = "d/" // completions of large arrays

	// Small records that are many share a key, since a change costs the same however much of
	// the value it writes.
	HostShardPrefix       = "hp/"
	BookingShardPrefix    = "bp/"
	CompletionShardPrefix = "dp/"
	LaunchShardPrefix     = "lp/"

	// Format 1 had a key for each host and each booking. These are read, moved and deleted.
	LegacyHostPrefix    = "m/"
	LegacyBookingPrefix = "b/"
)
