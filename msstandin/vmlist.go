package msstandin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"marjoramspan/mslog"
)

// vmTable is the list of VMs and the changes that don't show in it yet.
type vmTable struct {
	shown   []mslog.VM
	pending []vmChange
}

// vmChange puts vm into the list at a time, or takes it out.
type vmChange struct {
	at     time.Time
	vm     mslog.VM
	remove bool
}

// apply brings the list to time now.
func (t *vmTable) apply(now time.Time) {
	kept := t.pending[:0]
	for _, c := range t.pending {
		if c.at.After(now) {
			kept = append(kept, c)
			continue
		}
		t.change(c)
	}
	t.pending = kept
}

func (t *vmTable) change(c vmChange) {
	i, found := slices.BinarySearchFunc(t.shown, c.vm.Name, func(v mslog.VM, name string) int {
		return strings.Compare(v.Name, name)
	})
	if found {
		t.shown = slices.Delete(t.shown, i, i+1)
	}
	if !c.remove {
		t.shown = slices.Insert(t.shown, i, c.vm)
	}
}

// PutVM adds or replaces a VM. It shows in the list after ListLag.
func (p *Platform) PutVM(vm mslog.VM) {
	p.changeVM(vmChange{vm: vm})
}

// RemoveVM takes a VM out of the list after ListLag.
func (p *Platform) RemoveVM(name string) {
	p.changeVM(vmChange{vm: mslog.VM{Name: name}, remove: true})
}

func (p *Platform) changeVM(c vmChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	c.at = p.Clock.Now().Add(p.ListLag)
	p.vms.pending = append(p.vms.pending, c)
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	if !p.suffer(w, r, p.draw(otherRequests)) {
		return
	}
	p.mu.Lock()
	p.vms.apply(p.Clock.Now())
	list := append([]mslog.VM{}, p.vms.shown...)
	list = append(list, p.controls.list(p.Clock.Now())...)
	p.mu.Unlock()
	if names := r.URL.Query()["report"]; len(names) > 0 {
		writeJSON(w, http.StatusOK, vmListAnswer{VMs: reportsOf(list, names)})
		return
	}
	for i := range list {
		list[i].Running = 0
		list[i].ReportedAt = time.Time{}
	}
	tag := tagOf(list)
	if tag == r.URL.Query().Get("known") {
		writeJSON(w, http.StatusOK, vmListAnswer{Tag: tag, Unchanged: true})
		return
	}
	writeJSON(w, http.StatusOK, vmListAnswer{Tag: tag, VMs: list})
}

// reportsOf returns the VMs of the given names, or all for "*".
func reportsOf(list []mslog.VM, names []string) []mslog.VM {
	return slices.DeleteFunc(list, func(vm mslog.VM) bool {
		return !slices.Contains(names, vm.Name) && !slices.Contains(names, "*")
	})
}

// tagOf returns a tag that changes with the list.
func tagOf(list []mslog.VM) string {
	data, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return strconv.FormatUint(xxhash.Sum64(data), 16)
}

type vmListAnswer struct {
	Tag       string     `json:"tag,omitempty"`
	Unchanged bool       `json:"unchanged,omitempty"`
	VMs       []mslog.VM `json:"vms,omitempty"`
}

func (p *Platform) servePutVM(w http.ResponseWriter, r *http.Request) {
	var vm mslog.VM
	if !readJSON(w, r, &vm) {
		return
	}
	vm.Name = r.PathValue("name")
	if vm.State != mslog.VMLive && vm.State != mslog.VMLeaving {
		refuse(w, http.StatusBadRequest, "state must be live or leaving")
		return
	}
	p.PutVM(vm)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveDeleteVM(w http.ResponseWriter, r *http.Request) {
	p.RemoveVM(r.PathValue("name"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveListLag(w http.ResponseWriter, r *http.Request) {
	var req struct {
		LagMS int64 `json:"lag-ms"`
	}
	if !readJSON(w, r, &req) {
		return
	}
	p.mu.Lock()
	p.ListLag = time.Duration(max(0, req.LagMS)) * time.Millisecond
	p.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
