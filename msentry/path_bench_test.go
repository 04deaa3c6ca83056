package msentry

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"marjoramspan/msrule"
	"marjoramspan/msstate"
)

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

func post(target string) error {
	res, err := benchClient.Post(target, "text/plain", strings.NewReader("hello"))
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return io.ErrUnexpectedEOF
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err
}

// BenchmarkPath times a small request sent directly to the upstream and through an
// entry, with one client and with 32 concurrent ones.
func BenchmarkPath(b *testing.B) {
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	b.Cleanup(up.Close)
	address := up.Listener.Addr().String()
	entry := runEntry(b, address)
	for _, endpoint := range []struct{ name, target string }{
		{"bare", "http://" + address + "/x"},
		{"entry", "http://" + entry + PathQueues + "q/x"},
	} {
		b.Run("one/"+endpoint.name, func(b *testing.B) {
			for range b.N {
				require.NoError(b, post(endpoint.target))
			}
		})
		b.Run("many/"+endpoint.name, func(b *testing.B) {
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if err := post(endpoint.target); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

// BenchmarkSlopeTables builds the tables that an entry publishes after each state
// record.
func BenchmarkSlopeTables(b *testing.B) {
	for _, n := range []int{1, 2, 4} {
		s := &msstate.State{Rules: benchRules(n*135, n*51)}
		origin := msrule.Origin{AskedBy: "bench"}
		for i := range n * 102 {
			s.Rules.Keys = append(s.Rules.Keys, msrule.Key{ID: strings.Repeat("k", 8), Digest: strings.Repeat("d", 60) + string(rune('a'+i%26)), Origin: origin})
		}
		b.Run(string(rune('0'+n))+"x", func(b *testing.B) {
			for range b.N {
				newTables(s.Clone())
			}
		})
	}
}
