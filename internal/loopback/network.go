// Package loopback finds networks of loopback addresses, 127.N.0.0/16, that no other
// deployment on this machine uses.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// A network's second byte is from first to last. Below are addresses that people choose
// by hand, above those that systems use.
const (
	first = 64
	last  = 223
	// lock is the address of a network whose holder listens on it.
	lock = "255.254:7399"
)

// ErrNone is that of a machine on which every network is held.
var ErrNone = errors.New("no free loopback network from 127.64.0.0/16 to 127.223.0.0/16")

// Network is one that this process holds until Close, or its end.
type Network struct {
	Prefix string // "127.77."
	held   net.Listener
}

// Reserve takes a free network. Processes that reserve at the same time get different
// ones. An error other than ErrNone says why nothing can be listened on at all.
func Reserve() (*Network, error) { return reserve(os.Getpid()) }

func reserve(from int) (*Network, error) {
	const count = last - first + 1
	for i := range count {
		prefix := fmt.Sprintf("127.%d.", first+(from+i)%count)
		l, err := net.Listen("tcp4", prefix+lock)
		if err == nil {
			return &Network{Prefix: prefix, held: l}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, ErrNone
}

// Close gives the network back.
func (n *Network) Close() error { return n.held.Close() }
