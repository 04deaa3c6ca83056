//go:build review

// Package rig shows faults of the platform command with stand-ins for the platform, its
// workers and the callers. The programs run as separate processes on loopback addresses.
package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases has the scenarios by the value of CASE. Each returns what broke the rule, or "".
var cases = map[string]func(r *rig) string{
	"large-job":      largeJob,
	"reborn-ends":    rebornEnds,
	"crash-loop":     crashLoop,
	"cancel-unknown": cancelUnknown,
	"wave-handover":  waveHandover,

	"gang-checkpoint": gangCheckpoint,
	"reborn-kind":     rebornKind,
}

// TestMain runs the case that CASE names and exits with its result.
func TestMain(*testing.M) {
	run := cases[os.Getenv("CASE")]
	if run == nil {
		fmt.Fprintln(os.Stderr, "CASE names no case")
		os.Exit(exitNotRun)
	}
	r, err := newRig(os.Getenv("FOLDER"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	os.Exit(r.run(run))
}

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// notRun is panicked with when a case can't run.
type notRun string

func (r *rig) run(c func(r *rig) string) (code int) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stop:
		case <-time.After(maxTime):
		}
		r.note("not run: stopped, or out of time")
		r.killAll()
		_ = os.RemoveAll(r.dir)
		os.Exit(exitNotRun)
	}()
	defer func() {
		r.killAll()
		if p := recover(); p != nil {
			why, ok := p.(notRun)
			if !ok {
				panic(p)
			}
			r.note("not run: %s", string(why))
			code = exitNotRun
		}
		_ = os.RemoveAll(r.dir)
	}()
	if broken := c(r); broken != "" {
		r.note("BROKEN: %s", broken)
		return exitBroken
	}
	r.note("held")
	return exitHeld
}

// rig is a small deployment.
type rig struct {
	trouble bool
	dir     string
	base    string // the first three parts of the entries' addresses
	begun   time.Time
	store   *store
	cloud   string

	mu       sync.Mutex
	record   *os.File
	entries  []*entry
	minions  map[string]*minion
	machines []*machine
	// lives counts the minions that have joined.
	lives int
	runs  []*taskRun
	// onUpkeep, if set, decides what becomes of an order.
	onUpkeep func(o cloudOrder) fate
	// wave has the machines of the only wave, waveCap how many of them may be down at a time,
	// overCap the upkeeps that began beyond that.
	wave    []string
	waveCap int
	overCap []string
	// refusals counts the appends that were refused for the size of a record.
	refusals int
}

func newRig(folder string, trouble bool) (*rig, error) {
	r := &rig{trouble: trouble, begun: time.Now(), minions: map[string]*minion{}}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	r.record = f
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if r.base, err = freeAddresses(); err != nil {
		return nil, err
	}
	r.store = &store{rig: r, topics: map[string]*topic{}, appendTime: appendTime}
	r.cloud = r.serve(r.serveCloud)
	go r.gangs()
	return r, nil
}

// maxEntries is how many entries a case may have.
const maxEntries = 5

// freeAddresses returns the first three parts of loopback addresses on which the ports of the
// entries are free: the one of the metrics is fixed.
func freeAddresses() (string, error) {
	pid := os.Getpid()
	for n := pid; n < pid+100; n++ {
		base := fmt.Sprintf("127.%d.%d.", 1+n>>8&0x7f, n&0xff)
		if free(base) {
			return base, nil
		}
	}
	return "", errors.New("no free addresses")
}

func free(base string) bool {
	for i := range maxEntries {
		for _, port := range []string{portCallers, portReady, portMetrics} {
			l, err := net.Listen("tcp", net.JoinHostPort(base+strconv.Itoa(i+1), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// note writes a line to record.txt.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  %s", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.record, line)
}

// noteRefusal notes the first of the appends that are refused for the size of a record, and
// each hundredth.
func (r *rig) noteRefusal(topic, entry string, size int) {
	r.mu.Lock()
	r.refusals++
	n := r.refusals
	r.mu.Unlock()
	if n%100 == 1 {
		r.note("store: append %d is refused as a record is too large: topic %s, by %s, %d bytes of at most %d", n, topic, entry, size, recordBytes)
	}
}

// serve serves h on a free loopback port and returns its address.
func (r *rig) serve(h http.HandlerFunc) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(notRun(err.Error()))
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// respond answers with a JSON body.
func respond(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// abort ends a request without an answer.
func abort() { panic(http.ErrAbortHandler) }
