package msentry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"marjoramspan/msaccount"
	"marjoramspan/msstate"
	"marjoramspan/mstoken"
)

// The paths of the operators' listener.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
)

// Status is the entry's status as shown to operators.
type Status struct {
	Member         string           `json:"member"`
	Name           string           `json:"name"`
	DataCentre     string           `json:"data-centre"`
	Epoch          uint64           `json:"epoch"`
	Next           uint64           `json:"next"`
	RulesVersion   uint64           `json:"rules-version"`
	Fresh          bool             `json:"fresh"`
	LogUnreachable bool             `json:"log-cut"`
	Outage         bool             `json:"outage"`
	Draining       bool             `json:"draining"`
	Uptime         string           `json:"uptime"`
	Members        []msstate.Member `json:"members"`
	Lost           []msstate.Member `json:"lost,omitempty"`
	Requests       msaccount.Totals `json:"requests"`
	Unlogged       int              `json:"claims-unlogged"`
	Leaving        []string         `json:"leaving-vms,omitempty"`
	Resources      []ResourceStatus `json:"resources,omitempty"`
}

// ResourceStatus is an entry's part of one counted resource.
type ResourceStatus struct {
	Resource string `json:"resource"`
	Total    int    `json:"total"`
	Held     int    `json:"held"`
	Running  int    `json:"running"`
	Free     int    `json:"free"`
	Unknown  int    `json:"unknown"`
	Want     int    `json:"want"`
	Home     bool   `json:"home"`
}

// Status returns the entry's current status.
func (e *Entry) Status() Status {
	now := e.now()
	s := Status{Member: e.id, Name: e.Settings.Entry.Name, DataCentre: e.Settings.Entry.DataCentre, Draining: e.draining.Load()}
	s.Uptime = now.Sub(e.started).Round(time.Second).String()
	s.Requests = e.account.Totals()
	t := e.fold.tables()
	if t == nil {
		return s
	}
	s.Epoch = t.state.Epoch
	s.Next = t.state.Next
	s.RulesVersion = t.state.RulesVersion
	s.Fresh, _ = e.view.Fresh(now)
	s.LogUnreachable = e.view.IsCutOff(now)
	s.Outage = e.view.Outage(now)
	s.Members = t.state.Members
	s.Lost = t.state.Lost
	s.Unlogged = e.claims.home.Pending()
	s.Leaving = e.vms.leavingVMs(now)
	for _, total := range t.state.Totals {
		s.Resources = append(s.Resources, resourceStatus(total.Resource, e.ledger.Counts(total.Resource)))
	}
	return s
}

func resourceStatus(name string, c mstoken.Counts) ResourceStatus {
	return ResourceStatus{
		Resource: name,
		Total:    c.Total,
		Held:     c.Held,
		Running:  c.Running,
		Free:     c.Free,
		Unknown:  c.Unknown,
		Want:     c.Want,
		Home:     c.Home,
	}
}

// adminHandler serves operators and monitoring.
func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET "+PathReady, e.serveReady)
	mux.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.Status())
	})
	mux.Handle("GET "+PathMetrics, promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{}))
	return mux
}

// serveReady tells the balancer whether to send requests to this entry.
func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case e.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case e.mayAdmit() != nil:
		http.Error(w, e.mayAdmit().reason, http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}
