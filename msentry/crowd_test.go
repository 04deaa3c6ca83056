package msentry

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"marjoramspan/mssetting"
)

// connectCrowd opens n connections that send part of a request, and returns how many of them the
// entry has closed.
func connectCrowd(t *testing.T, address, text string, n int) (closed func() int) {
	var conns []net.Conn
	for range n {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, text) // The entry may have closed it.
		conns = append(conns, conn)
	}
	return func() int {
		count := 0
		for _, conn := range conns {
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := conn.Read(make([]byte, 1)); !os.IsTimeout(err) {
				count++
			}
		}
		return count
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	up := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	t.Cleanup(up.Close)
	const limit, crowd = 20, 100
	entry := runEntryWith(t, up.Listener.Addr().String(), func(set *mssetting.Settings) { set.Limits.MaxConnections = limit })
	for _, c := range []struct {
		name, address, text string
		limit               int
	}{
		{"silent", entry.Listen, "", limit},
		{"header", entry.Listen, "POST " + PathQueues + "q/x HTTP/1.1\r\nHost: a\r\nX: ", limit},
		{"body", entry.Listen, "POST " + PathQueues + "q/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" + strings.Repeat("x", 999), limit},
		{"admin", entry.AdminListen, "GET " + PathStatus + " HTTP/1.1\r\nHost: a\r\nX: ", maxAdminConnections},
	} {
		t.Run(c.name, func(t *testing.T) {
			closed := connectCrowd(t, c.address, c.text, crowd)
			require.Eventually(t, func() bool { return crowd-closed() <= c.limit }, 20*time.Second, 10*time.Millisecond)
			require.NoError(t, post("http://"+entry.Listen+PathQueues+"q/x"))
			resp, err := http.Get("http://" + entry.AdminListen + PathReady)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusOK, resp.StatusCode)
		})
	}
}
