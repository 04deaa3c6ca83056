package msstandin

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlatformControls drives the stand-in by the requests of its page.
func TestPlatformControls(t *testing.T) {
	p := &Platform{}
	const records, vms = "/v1/streams/s/records", "/v1/vms"
	for _, step := range []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"POST", records, `{"records":[{"id":"a","data":1},{"id":"b","data":{}}]}`, 200, `{"first":0}`},
		{"POST", records, `{"records":[]}`, 400, ""},
		{"POST", records, `{"records":[{"id":"c","data":1},{"id":"","data":1}]}`, 400, ""},
		{"GET", records + "?from=2", "", 200, `{"first":0,"end":2,"records":[]}`},
		{"GET", records + "?from=x", "", 400, ""},
		{"GET", records + "?from=0&wait-ms=-1", "", 400, ""},
		{"POST", "/v1/fault", `{"mode":"odd"}`, 400, ""},
		{"POST", "/v1/fault", `{"mode":"slow","rate":2}`, 400, ""},
		{"POST", "/v1/fault", `{"mode":"append-down"}`, 204, ""},
		{"POST", records, `{"records":[{"id":"c","data":1}]}`, 503, ""},
		{"GET", records + "?from=2", "", 200, `{"first":0,"end":2,"records":[]}`},
		{"POST", "/v1/fault", `{"mode":"down"}`, 204, ""},
		{"GET", records + "?from=2", "", 503, ""},
		{"GET", vms, "", 503, ""},
		{"POST", "/v1/fault", `{"mode":"none"}`, 204, ""},
		{"POST", "/v1/retain", `{"stream":"s","first":2}`, 204, ""},
		{"GET", records + "?from=1", "", 410, `{"first":2,"end":2}`},
		{"POST", records, `{"records":[{"id":"c","data":1}]}`, 200, `{"first":2}`},
		{"PUT", vms + "/a", `{"state":"odd"}`, 400, ""},
		{"PUT", vms + "/a", `{"state":"leaving","rack":"r"}`, 204, ""},
		{"GET", vms, "", 200, `{"tag":"c816a66bf73cb10d","vms":[{"name":"a","address":"","data-centre":"","rack":"r","region":"","state":"leaving"}]}`},
		{"GET", vms + "?known=c816a66bf73cb10d", "", 200, `{"tag":"c816a66bf73cb10d","unchanged":true}`},
		{"GET", vms + "?report=a", "", 200, `{"vms":[{"name":"a","address":"","data-centre":"","rack":"r","region":"","state":"leaving"}]}`},
		{"GET", vms + "?report=b", "", 200, `{}`},
		{"POST", "/v1/list-lag", `{"lag-ms":3600000}`, 204, ""},
		{"DELETE", vms + "/a", "", 204, ""},
		{"GET", vms, "", 200, `{"tag":"c816a66bf73cb10d","vms":[{"name":"a","address":"","data-centre":"","rack":"r","region":"","state":"leaving"}]}`},
		{"GET", vms + "?known=c816a66bf73cb10d", "", 200, `{"tag":"c816a66bf73cb10d","unchanged":true}`},
		{"GET", vms + "?report=a", "", 200, `{"vms":[{"name":"a","address":"","data-centre":"","rack":"r","region":"","state":"leaving"}]}`},
		{"GET", vms + "?report=b", "", 200, `{}`},
	} {
		w := httptest.NewRecorder()
		p.ServeHTTP(w, httptest.NewRequest(step.method, step.path, strings.NewReader(step.body)))
		require.Equal(t, step.status, w.Code, "%s %s %s", step.method, step.path, step.body)
		if step.answer != "" {
			require.JSONEq(t, step.answer, w.Body.String())
		}
	}
}

// TestFaultRateIsSeeded compares two platforms that fail by the same draws.
func TestFaultRateIsSeeded(t *testing.T) {
	run := func(seed uint64) string {
		p := &Platform{}
		p.SetFault(Fault{Mode: FaultDown, Rate: 0.5, Seed: seed})
		var codes strings.Builder
		for range 64 {
			w := httptest.NewRecorder()
			p.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/vms", nil))
			codes.WriteString(w.Result().Status[:1])
		}
		return codes.String()
	}
	require.Equal(t, run(1), run(1))
	require.NotEqual(t, run(1), run(2))
	require.Contains(t, run(1), "2")
	require.Contains(t, run(1), "5")
}

func TestUpstreamClosesConnectionsBeyondItsLimit(t *testing.T) {
	u := &Upstream{Connections: 1}
	url := newUpstream(t, u)
	resp := send(t, &http.Client{Transport: &http.Transport{}}, url, "a", "")
	_, _ = io.Copy(io.Discard, resp.Body)
	_, err := (&http.Client{Transport: &http.Transport{}}).Post(url, "", nil)
	require.Error(t, err)
	j := u.ReadJournal()
	require.Equal(t, 1, j.RefusedConnections)
	require.Equal(t, 1, j.MostConnections)
}
