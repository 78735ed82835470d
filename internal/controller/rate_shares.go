package controller

// Shares of the rates of the metered services. A follower normally only watches. While the leader
// can't be reached, the followers serve users for a short time: they may have to read for all
// users, and the leader mostly writes nothing, so the write shares add up to more than 1.
const (
	leaderWriteShare    = 0.75
	followersWriteShare = 0.5 // for all followers together
	leaderReadShare     = 0.4
	followersReadShare  = 0.6
)

// followerTxnChanges is how many changes the largest transaction of a follower carries: creating a
// job takes one change, claiming leadership takes two.
const followerTxnChanges = 2

// WriteShare is the share of the state service's rate of changes, and of the cloud's rate, that a
// controller may use.
func WriteShare(controllers int, isLeader bool) float64 {
	return shareOf(leaderWriteShare, followersWriteShare, controllers, isLeader)
}

// ReadShare is the share of the state service's request rate that a controller may use.
func ReadShare(controllers int, isLeader bool) float64 {
	return shareOf(leaderReadShare, followersReadShare, controllers, isLeader)
}

// MaxTxnChanges returns the largest number of changes in a transaction of a controller.
func MaxTxnChanges(maxTxnChanges int, isLeader bool) int {
	if isLeader {
		return maxTxnChanges
	}
	return followerTxnChanges
}

func shareOf(leaderShare, followersShare float64, controllers int, isLeader bool) float64 {
	switch {
	case controllers <= 1:
		return 1
	case isLeader:
		return leaderShare
	}
	return followersShare / float64(controllers-1)
}
