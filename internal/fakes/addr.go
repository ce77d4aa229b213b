package fakes

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// reservationPort is the port whose listener reserves a loopback address.
	reservationPort = 6999
	// reserveTries bounds the addresses that ReserveIP tries.
	reserveTries = 100
)

// ErrNoAddress means that ReserveIP found no free loopback address.
var ErrNoAddress = errors.New("no loopback address is free")

// ReserveIP returns a loopback address of which no other caller of this machine has a port, and a function
// that gives it back. A port of 127.0.0.1 that was found free could be taken before its server starts;
// outgoing connections use ports of 127.0.0.1 alone.
func ReserveIP() (ip string, release func(), err error) {
	for range reserveTries {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.N(254), rand.N(256), 1+rand.N(254))
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, reservationPort))
		if err == nil {
			return ip, func() { _ = l.Close() }, nil
		}
	}
	return "", nil, ErrNoAddress
}
