package controller

// Parts of the metered services' rates. A controller that does not lead only watches; when the
// leader can't be reached it serves users for a short while. Then it may have to read for all
// of them, and the leader mostly changes nothing, so that the parts of changes are more than
// one together.
const (
	leaderWriteShare    = 0.75
	followersWriteShare = 0.5 // of all followers together
	leaderReadShare     = 0.4
	followersReadShare  = 0.6
)

// followerTxnChanges is how many changes the largest transaction of a follower carries: it
// creates jobs, one each, and claims leadership, which takes two.
const followerTxnChanges = 2

// WriteShare is the part of the state service's rate of changes, and of the cloud's rate, that
// a controller may use.
func WriteShare(controllers int, leads bool) float64 {
	return shareOf(leaderWriteShare, followersWriteShare, controllers, leads)
}

// ReadShare is the part of the state service's rate of requests that a controller may use.
func ReadShare(controllers int, leads bool) float64 {
	return shareOf(leaderReadShare, followersReadShare, controllers, leads)
}

// LargestChange is how many changes the largest transaction of a controller carries.
func LargestChange(maxTxnChanges int, leads bool) int {
	if leads {
		return maxTxnChanges
	}
	return followerTxnChanges
}

func shareOf(leader, followers float64, controllers int, leads bool) float64 {
	switch {
	case controllers <= 1:
		return 1
	case leads:
		return leader
	}
	return followers / float64(controllers-1)
}
