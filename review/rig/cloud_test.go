//go:build review

package rig

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type machine struct {
	name, pool, state string
	m                 *minion
	token             int64
	waves             map[int64]bool
	wave              int64
}

const maintenanceTime = 2 * time.Second

// cloudOrder is an upkeep that the platform is asked for.
type cloudOrder struct {
	machine, holder string
	wave, token     int64
}

func (r *rig) serveCloud(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/machines" {
		r.mu.Lock()
		defer r.mu.Unlock()
		rows := []map[string]any{}
		for _, m := range r.machines {
			id := ""
			if m.m != nil {
				id = m.m.id
			}
			rows = append(rows, map[string]any{"machine": m.name, "pool": m.pool, "state": m.state, "zone": "a", "labels": []string{"a", "r1"}, "capacity": map[string]int64{"cpu": minionCPU, "mem_mb": 65536}, "id": id})
		}
		respond(w, http.StatusOK, map[string]any{"machines": rows})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.URL.Path != "/machine-upkeep" {
		// No case lets pools change.
		respond(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	token, _ := strconv.ParseInt(q.Header.Get("Fencing-Token"), 10, 64)
	order := cloudOrder{machine: o.Machine, holder: q.Header.Get("Duty-Holder"), wave: o.Wave, token: token}
	if r.onUpkeep != nil {
		if f := r.onUpkeep(order); f.lose {
			r.note("cloud: the upkeep of %s ordered by %s, token %d, gets no answer", order.machine, order.holder, order.token)
			go func() {
				time.Sleep(f.delay)
				r.note("cloud: that order of %s by %s, token %d, is carried out now: %q", order.machine, order.holder, order.token, r.upkeep(order))
			}()
			<-q.Context().Done()
			abort()
		}
	}
	if reason := r.upkeep(order); reason != "" {
		respond(w, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	respond(w, http.StatusOK, map[string]any{})
}

// upkeep begins the upkeep of a machine and returns why not, or "".
func (r *rig) upkeep(o cloudOrder) string {
	r.mu.Lock()
	var m *machine
	for _, c := range r.machines {
		if c.name == o.machine {
			m = c
		}
	}
	switch {
	case m == nil || !r.waveHas(o.wave, o.machine):
		r.mu.Unlock()
		return "wave"
	case o.token < m.token:
		r.mu.Unlock()
		return "fence"
	}
	m.token = o.token
	switch {
	case m.waves[o.wave]:
		r.mu.Unlock()
		return ""
	case m.state != "up":
		r.mu.Unlock()
		return "busy"
	}
	down := []string{}
	for _, c := range r.machines {
		if c.state == "upkeep" && c.wave == o.wave {
			down = append(down, c.name)
		}
	}
	if len(down) >= r.waveCap {
		r.overCap = append(r.overCap, fmt.Sprintf("the upkeep of %s begins while %s down for wave %d, of %d at most", m.name, strings.Join(down, ", "), o.wave, r.waveCap))
	}
	m.waves[o.wave], m.state, m.wave = true, "upkeep", o.wave
	old := m.m
	r.mu.Unlock()
	r.note("cloud: upkeep of %s begins, ordered by %s, token %d; down before: %v", m.name, o.holder, o.token, down)
	old.leave()
	r.store.put("keyed.servers", old.id, nil)
	time.AfterFunc(maintenanceTime, func() {
		r.note("cloud: upkeep of %s ends", m.name)
		r.join(m)
	})
	return ""
}

func (r *rig) waveHas(wave int64, name string) bool {
	for _, n := range r.wave {
		if n == name {
			return true
		}
	}
	return false
}

// askWave has the operator ask for a wave.
func (r *rig) askWave(limit int, duration time.Duration, names []string) {
	r.mu.Lock()
	r.wave, r.waveCap = names, limit
	r.mu.Unlock()
	b, _ := json.Marshal(map[string]any{"wave": 1, "machines": names, "duration_s": duration.Seconds(), "cap": limit})
	r.store.put("keyed.op", "wave/1", b)
	r.note("operator: wave 1 of %v, %d at once", names, limit)
}
