package controller

// Role is the state of the election.
type Role uint8

// Roles of a controller.
const (
	RoleFollower       Role = iota // another controller leads, or may
	RoleAcquiringLease             // asks for a lease
	RoleClaiming                   // takes the leader key
	RoleRecovering                 // leads, and reads the records
	RoleLeader                     // leads
	RoleLeaseUncertain             // leads, but its lease could have expired
)

// String is the role's name in the log and in metrics.
func (r Role) String() string {
	return [...]string{"following", "leasing", "claiming", "loading", "leading", "doubtful"}[r]
}

// leads reports whether a controller in this role holds the leader key, as far as it knows.
func (r Role) leads() bool {
	return r == RoleRecovering || r == RoleLeader || r == RoleLeaseUncertain
}

// holdsLease reports whether a controller in this role has a lease to renew. The claim takes
// two round trips more, and the lease has to outlast them where the state service is slow.
func (r Role) holdsLease() bool { return r.leads() || r == RoleClaiming }
