package controller

// Role is the state of the election.
type Role uint8

// Roles of a node.
const (
	RoleFollower       Role = iota // another node leads, or may
	RoleAcquiringLease             // asks for a state lease
	RoleClaiming                   // takes the leader key
	RoleRecovering                 // leads, reads the records
	RoleLeader                     // leads
	RoleLeaseUncertain             // leads, but its lease could have ended
)

func (r Role) String() string {
	return [...]string{"following", "leasing", "claiming", "loading", "leading", "doubtful"}[r]
}

func isLeaderRole(r Role) bool {
	return r == RoleRecovering || r == RoleLeader || r == RoleLeaseUncertain
}

// holdsLease reports whether a node in this role has a lease to renew. The claim takes two
// round trips more, and the lease has to outlast them where the state service is slow.
func holdsLease(r Role) bool { return isLeaderRole(r) || r == RoleClaiming }
