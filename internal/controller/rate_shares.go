package controller

// WriteShare is the part of the rate of changes, and of the cloud's, that a node
// may use; ReadShare that of the state service's requests. A node that does not
// lead only watches; when the leader can't be reached it serves users for a
// short while. Then it may have to read for all of them, and the leader mostly
// changes nothing, so that the parts of changes are more than one together.
func WriteShare(nodes int, leads bool) float64 { return shareOf(0.75, 0.5, nodes, leads) }

// ReadShare is the part of the requests to the state service, see WriteShare.
func ReadShare(nodes int, leads bool) float64 { return shareOf(0.4, 0.6, nodes, leads) }

// LargestChange is how many changes the largest transaction of a node carries. One that
// does not lead creates jobs, one each, and claims the lead, which takes two.
func LargestChange(txnOps int, leads bool) int {
	if leads {
		return txnOps
	}
	return 2
}

func shareOf(leader, others float64, nodes int, leads bool) float64 {
	switch {
	case nodes <= 1:
		return 1
	case leads:
		return leader
	}
	return others / float64(nodes-1)
}
