package controller

// Role is the state of the election.
type Role uint8

// Roles of a controller.
const (
	RoleFollower       Role = iota // does not lead; another controller may
	RoleAcquiringLease             // requests a lease
	RoleClaiming                   // holds a lease and claims the leader key
	RoleRecovering                 // holds the leader key and reads the records
	RoleLeader                     // leads
	RoleLeaseUncertain             // leads, but its lease could have expired
)

// String returns the name of the role in the log and in metrics.
func (r Role) String() string {
	return [...]string{"following", "leasing", "claiming", "loading", "leading", "doubtful"}[r]
}

// leads reports whether a controller in this role holds the leader key, to its knowledge.
func (r Role) leads() bool {
	return r == RoleRecovering || r == RoleLeader || r == RoleLeaseUncertain
}

// holdsLease reports whether a controller in this role has a lease that it must renew. A controller
// that claims the leader key renews its lease too: the claim takes two more round trips, during
// which the lease must not expire if the state service is slow.
func (r Role) holdsLease() bool { return r.leads() || r == RoleClaiming }
