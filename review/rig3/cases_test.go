//go:build review

package rig3

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// gangMembers is the size of the gang that can't be done, wideJob that of the job that can.
	gangMembers = 99000
	wideJob     = 40000
)

func init() {
	cases["renamed-route"] = caseRenamedRoute
	cases["longer-wave"] = caseLongerWave
	cases["hopeless-gang"] = caseHopelessGang
	cases["wide-job"] = caseWideJob
	cases["handover"] = caseHandover
}

// deploy starts three entries and seven minions of one service. The first minion has label b, the
// others have label a.
func (c *caseRun) deploy() ([]*minion, error) {
	c.configure(route{name: "r-plan", path: "plan"})
	var all []*minion
	for i := range 7 {
		label := "a"
		if i == 0 {
			label = "b"
		}
		all = append(all, c.fleet.add(fmt.Sprintf("m-%d", i), "plan", fmt.Sprintf("r%d-1", i/2), 8000, 16000, label))
	}
	if err := c.start(3); err != nil {
		return nil, err
	}
	_, err := c.leader()
	// The entries and minions are calm for longer than contact_ms.
	time.Sleep(4 * time.Second)
	return all, err
}

// caseRenamedRoute stores a config in which the route of an accepted job has another name, and asks for
// the job.
func caseRenamedRoute(c *caseRun) ([]string, error) {
	if _, err := c.deploy(); err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	id := newID()
	if s := e.submit("/plan/"+id, []stepSpec{{RunMS: 12000, CPU: 1000}}, step{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 12000}); s != 200 {
		return nil, fmt.Errorf("the job was answered with %d", s)
	}
	time.Sleep(4 * time.Second)
	now := route{name: "r-plan", path: "plan"}
	if c.trouble {
		now.name = "r-plan-b"
	}
	c.configure(now)
	c.log.say("the operator has stored version %d with route %s", c.version, now.name)
	time.Sleep(4 * time.Second)
	var broken []string
	for _, e := range c.entries {
		if s, _ := e.call("GET", "/plan/"+id, nil); s == 410 {
			broken = append(broken, "a GET for the accepted job is answered 410 at "+e.name)
		}
	}
	time.Sleep(7 * time.Second)
	for _, r := range c.fleet.runsOf(id) {
		c.log.say("run %d of %s on %s: %s", r.attempt, r.task, r.minion, r.how)
	}
	return broken, nil
}

// caseLongerWave adds a machine to a wave while the wave is under way.
func caseLongerWave(c *caseRun) ([]string, error) {
	minions, err := c.deploy()
	if err != nil {
		return nil, err
	}
	order := func(names ...string) {
		c.store.put("keyed.op", "wave/1", map[string]any{"wave": 1, "machines": names, "duration_s": 20, "cap": 1})
		c.log.say("the operator has stored wave 1: %v", names)
	}
	names := []string{"m-1", "m-2"}
	order(names...)
	time.Sleep(1500 * time.Millisecond)
	if c.trouble {
		names = append(names, "m-3")
		order(names...)
	}
	completed := func() bool { return strings.Contains(string(c.store.value("keyed.status", "wave/1")), "completed") }
	if !await(40*time.Second, completed) {
		return nil, fmt.Errorf("the wave isn't completed after 40 s")
	}
	var broken []string
	c.fleet.locked(func() {
		for _, m := range minions {
			for _, name := range names {
				if m.machine == name && !m.kept[1] {
					broken = append(broken, "wave 1 is said to be completed, and its machine "+name+" hasn't begun its upkeep")
				}
			}
		}
	})
	c.log.say("status/wave/1 is %s", c.store.value("keyed.status", "wave/1"))
	return broken, nil
}

// caseHopelessGang hands in a gang that needs more memory than its service has, and then small jobs for
// another service.
func caseHopelessGang(c *caseRun) ([]string, error) {
	const (
		jobs = 19
		// still is for how long a job may have nothing running, patience finish_s and that.
		still    = 3 * time.Second
		patience = 17 * time.Second
	)
	c.configure(route{name: "r-plan", path: "plan"}, route{name: "r-quick", path: "quick"})
	for i := range 4 {
		c.fleet.add(fmt.Sprintf("m-p%d", i), "plan", "r1-1", 32000, 65536, "a")
		c.fleet.add(fmt.Sprintf("m-q%d", i), "quick", "r2-1", 32000, 65536, "a")
	}
	if err := c.start(3); err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	// The four minions have 262,144 MB.
	members, memory := 100, 3000
	if c.trouble {
		members, memory = gangMembers, 300000/gangMembers
	}
	// The gang is one of 20 jobs of its queue.
	for range jobs {
		small := step{"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 200}
		if s := e.submit("/plan/"+newID(), []stepSpec{{RunMS: 200, CPU: 500}}, small); s != 200 {
			return nil, fmt.Errorf("a sound job was answered with %d", s)
		}
	}
	gang := newID()
	if s := e.submit("/plan/"+gang, []stepSpec{{RunMS: 1000, CPU: 1}}, step{"count": members, "cpu": 1, "mem_mb": memory, "est_runtime_ms": 1000, "gang": true}); s != 200 {
		return nil, fmt.Errorf("the gang was answered with %d", s)
	}
	c.log.say("a gang of %d subtasks with %d MB each is accepted", members, memory)
	accepted := map[string]time.Time{}
	for range jobs {
		time.Sleep(time.Second)
		id := newID()
		if e.submit("/quick/"+id, []stepSpec{{RunMS: 200, CPU: 500}}, step{"count": 2, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 200}) == 200 {
			accepted[id] = time.Now()
		}
	}
	time.Sleep(patience)
	var broken []string
	for id, at := range accepted {
		begun, what := time.Now(), "and has not begun"
		for _, r := range c.fleet.runsOf(id) {
			if r.start.Before(begun) {
				begun, what = r.start, "until it began"
			}
		}
		wait := begun.Sub(at)
		c.log.say("job %s had nothing running for %.3f s %s", id, wait.Seconds(), what)
		if wait > still {
			broken = append(broken, fmt.Sprintf("job %s had nothing running for %.1f s beside an idle service, %s", id, wait.Seconds(), what))
		}
	}
	return broken, nil
}

// caseWideJob hands in a job whose subtasks all have room at once, and ends each process that takes more
// memory than its settings allow, as the platform does.
func caseWideJob(c *caseRun) ([]string, error) {
	const (
		limit   = 284 << 20
		restart = 500 * time.Millisecond
		// A process may end by itself twice, and on one machine more often.
		maxEnds, maxMachines = 2, 1
		length               = 60 * time.Second
	)
	c.configure(route{name: "r-plan", path: "plan"})
	for i := range 6 {
		c.fleet.add(fmt.Sprintf("m-%d", i), "plan", fmt.Sprintf("r%d-1", i/2), 32000, 65536, "a")
	}
	if err := c.start(3); err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	width := wideJob
	if !c.trouble {
		width = 100
	}
	id := newID()
	if s := e.submit("/plan/"+id, []stepSpec{{RunMS: 5000, CPU: 4}}, step{"count": width, "cpu": 4, "mem_mb": 8, "est_runtime_ms": 5000}); s != 200 {
		return nil, fmt.Errorf("the job was answered with %d", s)
	}
	c.log.say("a job of %d subtasks is accepted", width)
	begun, ends := time.Now(), map[*entry]int{}
	for over := 0; over <= maxMachines && time.Since(begun) < length; time.Sleep(50 * time.Millisecond) {
		over = 0
		for _, e := range c.entries {
			if used := e.anonymous(); used > limit {
				ends[e]++
				c.log.say("%s has %d MB and is killed, for the %d. time", e.name, used>>20, ends[e])
				e.kill()
				time.AfterFunc(restart, func() {
					if err := e.start(); err != nil {
						c.log.say("%s doesn't start: %v", e.name, err)
					}
				})
			}
			if ends[e] > maxEnds {
				over++
			}
		}
	}
	time.Sleep(2 * restart)
	done := 0
	for _, r := range c.fleet.runsOf(id) {
		if r.how == "done" {
			done++
		}
	}
	c.log.say("%d subtasks of the job have ended done", done)
	var broken []string
	for e, n := range ends {
		if n > maxEnds {
			broken = append(broken, fmt.Sprintf("%s has gone over its memory %d times", e.name, n))
		}
	}
	if len(broken) <= maxMachines {
		broken = nil
	}
	return broken, nil
}

// caseHandover leaves a start unanswered, stops the entry that has sent it, and cuts off its minion, which
// crashes, starts again under its id and carries the start out.
func caseHandover(c *caseRun) ([]string, error) {
	const (
		late    = 3500 * time.Millisecond
		cutTime = 4500 * time.Millisecond
		down    = 1200 * time.Millisecond
	)
	c.configure(route{name: "r-plan", path: "plan"})
	var mu sync.Mutex
	var watched string
	begun := make(chan *minion, 1)
	delay := func(m *minion, task string) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if watched == "" || !strings.HasPrefix(task, watched) {
			return 0
		}
		watched = ""
		begun <- m
		return late
	}
	for i := range 8 {
		m := c.fleet.add(fmt.Sprintf("m-%d", i), "plan", fmt.Sprintf("r%d-1", i/2), 8000, 16000, "a")
		m.delays = delay
	}
	if err := c.start(3); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	if s := e.submit("/plan/"+newID(), []stepSpec{{RunMS: 600, CPU: 1000}}, step{"count": 40, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 600}); s != 200 {
		return nil, fmt.Errorf("the first job was answered with %d", s)
	}
	time.Sleep(1500 * time.Millisecond)
	id := newID()
	if c.trouble {
		mu.Lock()
		watched = id
		mu.Unlock()
	}
	if s := e.submit("/plan/"+id, []stepSpec{{RunMS: 10000, CPU: 8000}}, step{"count": 1, "cpu": 8000, "mem_mb": 100, "est_runtime_ms": 10000}); s != 200 {
		return nil, fmt.Errorf("the job was answered with %d", s)
	}
	if c.trouble {
		m := <-begun
		if err := c.disturb(m, cutTime, down); err != nil {
			return nil, err
		}
	}
	time.Sleep(14 * time.Second)
	var broken []string
	all := c.fleet.runsOf(id)
	for i, a := range all {
		c.log.say("run %d of %s on %s, life %d: %s", a.attempt, a.task, a.minion, a.life, a.how)
		for _, b := range all[i+1:] {
			if a.task == b.task && (a.end.IsZero() || b.start.Before(a.end)) {
				broken = append(broken, fmt.Sprintf("attempt %d of %s begins on %s while attempt %d runs on %s", b.attempt, b.task, b.minion, a.attempt, a.minion))
			}
		}
	}
	return broken, nil
}

// disturb cuts off a minion, which crashes behind the cut and starts again, and meanwhile stops the entry
// that leads and starts it again. With STOP=0 the entry is left alone.
func (c *caseRun) disturb(m *minion, cutTime, down time.Duration) error {
	l, err := c.leader()
	if err != nil {
		return err
	}
	c.log.say("minion %s is cut off for %v", m.id, cutTime)
	c.fleet.locked(func() { m.cut = true })
	time.AfterFunc(cutTime, func() {
		c.fleet.locked(func() { m.cut = false })
		c.log.say("the cut of minion %s is over", m.id)
	})
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("STOP") != "0" {
		go l.restart()
	}
	time.Sleep(time.Second)
	m.crash()
	time.Sleep(down)
	m.begin()
	c.log.say("minion %s starts again, life %d", m.id, m.life)
	return nil
}
