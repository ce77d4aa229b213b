package fakes

import (
	"fmt"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Pattern: several test runs start processes at the same time. Each must find its own ports free.
func TestReserveIPIsExclusive(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for range 200 {
		ip, release, err := ReserveIP()
		is.NoErr(err)
		t.Cleanup(release)
		is.True(!seen[ip]) // no address is handed out twice
		seen[ip] = true
		_, err = net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, reservationPort))
		is.True(err != nil) // another process can't reserve it either
	}
}
