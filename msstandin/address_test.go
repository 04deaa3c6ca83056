package msstandin

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two runs of the tests share a machine: no port is given out twice, and a port can be
// listened on although it is reserved.
func TestFreeAddressesAreReserved(t *testing.T) {
	seen := map[string]bool{}
	for range 300 {
		address, release, err := FreeAddress()
		require.NoError(t, err)
		defer release()
		require.False(t, seen[address], address)
		seen[address] = true
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
		_, port, err := net.SplitHostPort(address)
		require.NoError(t, err)
		_, err = net.Listen("tcp", net.JoinHostPort(reservationHost, port))
		require.Error(t, err, "the port is not reserved")
	}
}
