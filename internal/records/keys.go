package records

// Keys and key prefixes in the state service.
const (
	KeyLeader       = "lead"  // leader record, which expires with the leader's lease
	KeyEpoch        = "epoch" // epoch record, which counts the terms of leaders
	KeyMachineTypes = "types"
	KeyHandover     = "seen" // silent hosts and partitions, for the next leaders

	JobPrefix = "j/"
	// FinalPrefix is the prefix of finished jobs. Their records under JobPrefix are deleted, so
	// that a new leader reads the unfinished jobs only.
	FinalPrefix = "f/"
	ChunkPrefix = "d/" // completions of large arrays

	// Many small records share a key, since a change has the same cost for any size of the value.
	HostShardPrefix       = "hp/"
	BookingShardPrefix    = "bp/"
	CompletionShardPrefix = "dp/"
	LaunchShardPrefix     = "lp/"

	// Format 1 has a key for each host and each booking. A new leader reads these records, moves
	// them to shared ones and deletes them.
	LegacyHostPrefix    = "m/"
	LegacyBookingPrefix = "b/"
)
