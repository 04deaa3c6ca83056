//go:build review

package rig

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The ports of an entry. That of the metrics is the one of the deploy file.
const (
	portCallers = "8340"
	portReady   = "8343"
	portMetrics = "7001"
)

// entry is a process of the platform command, with a store address of its own.
type entry struct {
	rig                         *rig
	name, ip, settings, storeAt string
	// storeDown says that the store doesn't answer this entry.
	storeDown atomic.Bool
	log       *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// addEntry starts an entry with the command of the deploy file.
func (r *rig) addEntry() *entry {
	n := len(r.entries) + 1
	e := &entry{rig: r, name: "edge-" + strconv.Itoa(n), ip: r.base + strconv.Itoa(n)}
	e.storeAt = r.serve(r.store.handler(e))
	e.settings = filepath.Join(r.dir, e.name+".yaml")
	text := fmt.Sprintf(`node_name: %q
role: "entry"
machine_class: "edge"
serves: ["edge"]
ip: %q
zone: "a"
region: "r"
zones: {a: "r"}
listen_addrs: {frontend: "%s:8340", ready: "%s:8343"}
internal_ports: [7000, 7015]
bootstrap: true
limits: {cpu_quota: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
bounds: {contact_ms: 3000, ack_timeout_ms: 4000, drain_timeout_ms: 2000, grace_s: 6, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, strict_revoke: true, revoke_ms: 5000, hold_max_ms: 6000, stop_grace_ms: 200, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_penalty: 1.5, checkpoint_s: 2, restore_ms: 250, notice_ms: 4500, migration_s: 1.5, maintenance_s: 2, fencing_enforced: true, lease_ms: 3000}
control_mode: "call"
platform: {address: %q, form: "log", writes_per_s: 600, reads_per_s: 2000, parts: 8, append_ms: 4.0, part_mb_s: 20.0, read_mb_s: 80.0, record_bytes: %d, request_bytes: 2097152, keep_s: 300, part_mb: 200, ttl_min_ms: 1000}
cloud_api: {address: %q, rate_per_s: 64.0, duties: [], duties_per_s: 64.0}
`, e.name, e.ip, e.ip, e.ip, e.storeAt, recordBytes, r.cloud)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		panic(notRun(err.Error()))
	}
	var err error
	if e.log, err = os.Create(filepath.Join(r.dir, e.name+".log")); err != nil {
		panic(notRun(err.Error()))
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if e.log, err = os.Create(filepath.Join(keep, e.name+".log")); err != nil {
			panic(notRun(err.Error()))
		}
	}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	e.start()
	return e
}

func (e *entry) start() {
	cmd := exec.Command(os.Getenv("PROGRAM"), "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARJORAMSPAN_BOOT=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		panic(notRun(err.Error()))
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	e.mu.Lock()
	e.cmd, e.exited = cmd, exited
	e.mu.Unlock()
	e.rig.note("%s started", e.name)
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.exited:
	default:
		_ = e.cmd.Process.Signal(s)
	}
}

func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	<-e.exited
	e.rig.note("%s killed", e.name)
}

func (r *rig) killAll() {
	r.mu.Lock()
	all := append([]*entry(nil), r.entries...)
	r.mu.Unlock()
	for _, e := range all {
		if e.cmd != nil {
			e.signal(syscall.SIGCONT)
			e.signal(syscall.SIGKILL)
			<-e.exited
		}
	}
}

func (e *entry) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.ip + ":" + portReady + "/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// leads reports whether the entry schedules, as its metrics show.
func (e *entry) leads() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.ip + ":" + portMetrics + "/metrics")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	return strings.Contains(string(b), "\nmarjoramspan_leads 1")
}

// leader returns the entry that schedules.
func (r *rig) leader() *entry {
	for range 100 {
		for _, e := range r.entries {
			if e.leads() {
				return e
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(notRun("no entry leads"))
}

func (r *rig) waitReady() {
	for range 400 {
		all := true
		for _, e := range r.entries {
			all = all && e.ready()
		}
		if all {
			r.note("all entries are ready")
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	panic(notRun("the entries didn't become ready"))
}
