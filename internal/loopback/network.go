// Package loopback reserves networks of loopback addresses, 127.N.0.0/16, so that deployments on
// the same machine use different addresses.
package loopback

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// The second octet of a network is in the range from firstOctet to lastOctet. Lower values are
// often chosen by hand, higher values are used by operating systems.
const (
	firstOctet = 64
	lastOctet  = 223
	// lockAddress is the last two octets and the port of an address in each network. Listening on
	// that address reserves the network.
	lockAddress = "255.254:7399"
)

// ErrNoFreeNetwork reports that every network is reserved on this machine.
var ErrNoFreeNetwork = errors.New("no free loopback network from 127.64.0.0/16 to 127.223.0.0/16")

// Network is a reservation, which lasts until Close is called or the process exits.
type Network struct {
	Prefix   string // first two octets of the addresses, like "127.77."
	listener net.Listener
}

// Reserve reserves a free network. Processes that call it at the same time get different
// networks. An error other than ErrNoFreeNetwork is the reason why the process can't listen on
// loopback addresses at all.
func Reserve() (*Network, error) { return reserve(os.Getpid()) }

// reserve tries each network once, beginning with the one at index start modulo their number.
func reserve(start int) (*Network, error) {
	const count = lastOctet - firstOctet + 1
	for i := range count {
		prefix := fmt.Sprintf("127.%d.", firstOctet+(start+i)%count)
		l, err := net.Listen("tcp4", prefix+lockAddress)
		if err == nil {
			return &Network{Prefix: prefix, listener: l}, nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
	return nil, ErrNoFreeNetwork
}

// Close releases the network for other processes.
func (n *Network) Close() error { return n.listener.Close() }
