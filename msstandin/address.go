package msstandin

import (
	"errors"
	"math/rand/v2"
	"net"
	"strconv"
)

const (
	// Ports from firstPort on, up to the range from which the system gives ports to
	// outgoing connections.
	firstPort, ports = 20000, 12000
	// reservationHost is the loopback address on which a port is reserved while a test
	// uses it on testHost.
	testHost, reservationHost = "127.0.0.1", "127.0.0.2"
	portTries                 = 100
)

var errNoFreePort = errors.New("stand-in: no free port")

// FreeAddress returns a loopback address that nobody else gets from FreeAddress, in any
// process of the machine, until release is called. A port that was only found to be free
// could be taken before its user listens on it.
func FreeAddress() (address string, release func(), err error) {
	for range portTries {
		port := strconv.Itoa(firstPort + rand.IntN(ports))
		reservation, err := net.Listen("tcp", net.JoinHostPort(reservationHost, port))
		if err != nil {
			continue
		}
		l, err := net.Listen("tcp", net.JoinHostPort(testHost, port))
		if err != nil {
			_ = reservation.Close()
			continue
		}
		_ = l.Close()
		return l.Addr().String(), func() { _ = reservation.Close() }, nil
	}
	return "", nil, errNoFreePort
}
