package msstandin

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"marjoramspan/mslog"
)

// silentAfter is how long after its last report a VM shows as failed.
const silentAfter = 3 * time.Second

// VMReport is what a VM tells the platform of itself.
type VMReport struct {
	Address    string `json:"address"`
	DataCentre string `json:"data-centre"`
	Rack       string `json:"rack"`
	Region     string `json:"region"`
	BootID     string `json:"boot-id"`
	Running    int    `json:"running"`
}

// VMOrders is the platform's answer to a report.
type VMOrders struct {
	// Drain says that the VM is to take no new work.
	Drain bool `json:"drain"`
	// Reboot is the boot that is to end, or empty.
	Reboot string `json:"reboot,omitempty"`
}

// VMEvent is one change of a VM's state.
type VMEvent struct {
	At    time.Time     `json:"at"`
	VM    string        `json:"vm"`
	State mslog.VMState `json:"state"`
}

// vmControl is what the platform knows and wants of a VM that reports.
type vmControl struct {
	report VMReport
	at     time.Time
	state  mslog.VMState
	since  time.Time
	orders VMOrders
}

// controls holds the VMs that report, and their history.
type controls struct {
	vms     map[string]*vmControl
	history []VMEvent
}

func (c *controls) turn(name string, v *vmControl, s mslog.VMState, now time.Time) {
	if v.state == s {
		return
	}
	v.state = s
	v.since = now
	c.history = append(c.history, VMEvent{At: now, VM: name, State: s})
}

// take notes a report and returns what the VM is told.
func (c *controls) take(name string, r VMReport, now time.Time) VMOrders {
	if c.vms == nil {
		c.vms = make(map[string]*vmControl)
	}
	v := c.vms[name]
	if v == nil {
		v = &vmControl{}
		c.vms[name] = v
	}
	if v.report.BootID != r.BootID {
		// A VM that has booted is empty, and the platform opens it.
		v.orders = VMOrders{}
	}
	v.report = r
	v.at = now
	c.turn(name, v, v.wanted(), now)
	return v.orders
}

func (v *vmControl) wanted() mslog.VMState {
	switch {
	case v.orders.Reboot != "":
		return mslog.VMRebooting
	case v.orders.Drain:
		return mslog.VMDraining
	}
	return mslog.VMLive
}

// list returns the VMs that report, as the platform's list shows them.
func (c *controls) list(now time.Time) []mslog.VM {
	out := make([]mslog.VM, 0, len(c.vms))
	for name, v := range c.vms {
		if now.Sub(v.at) > silentAfter && v.state != mslog.VMRebooting {
			c.turn(name, v, mslog.VMFailed, now)
		}
		out = append(out, mslog.VM{
			Name:       name,
			Address:    v.report.Address,
			DataCentre: v.report.DataCentre,
			Rack:       v.report.Rack,
			Region:     v.report.Region,
			State:      v.state,
			Since:      v.since,
			BootID:     v.report.BootID,
			Running:    v.report.Running,
			ReportedAt: v.at,
		})
	}
	slices.SortFunc(out, func(a, b mslog.VM) int { return strings.Compare(a.Name, b.Name) })
	return out
}

func (p *Platform) controlRoutes() {
	p.mux.HandleFunc("POST /v1/vms/{name}/report", p.serveReport)
	p.mux.HandleFunc("POST /v1/vms/{name}/drain", p.serveOrder)
	p.mux.HandleFunc("POST /v1/vms/{name}/open", p.serveOrder)
	p.mux.HandleFunc("POST /v1/vms/{name}/reboot", p.serveReboot)
	p.mux.HandleFunc("GET /standin/history", p.serveHistory)
}

func (p *Platform) serveReport(w http.ResponseWriter, r *http.Request) {
	var report VMReport
	if !readJSON(w, r, &report) {
		return
	}
	p.mu.Lock()
	orders := p.controls.take(r.PathValue("name"), report, p.Clock.Now())
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, orders)
}

// serveOrder drains or opens a VM. Repeating it changes nothing.
func (p *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	f := p.draw(vmOrders)
	if !p.suffer(w, r, f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.controls.vms[name]
	if v == nil {
		refuse(w, http.StatusNotFound, "no VM "+name)
		return
	}
	v.orders.Drain = strings.HasSuffix(r.URL.Path, "/drain")
	p.controls.turn(name, v, v.wanted(), p.Clock.Now())
	if f.Mode == FaultLoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

// serveReboot reboots a VM if its boot is still the one named.
func (p *Platform) serveReboot(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	var req struct {
		BootID string `json:"boot-id"`
	}
	if !readJSON(w, r, &req) {
		return
	}
	f := p.draw(vmOrders)
	if !p.suffer(w, r, f) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.controls.vms[name]
	if v == nil || v.report.BootID != req.BootID {
		refuse(w, http.StatusConflict, "the VM has another boot")
		return
	}
	v.orders.Reboot = req.BootID
	p.controls.turn(name, v, v.wanted(), p.Clock.Now())
	if f.Mode == FaultLoseAnswers {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(http.StatusOK)
}

func (p *Platform) serveHistory(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	events := slices.Clone(p.controls.history)
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}
