//go:build review

package rig3

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

func init() {
	cases["pending"] = casePending
	cases["two-crashes"] = caseTwoCrashes
	cases["renamed-route"] = caseRenamedRoute
	cases["longer-wave"] = caseLongerWave
	cases["late-start"] = caseLateStart
}

// deploy starts three entries and seven minions of one service. The first minion has label b, the
// others have label a.
func (c *caseRun) deploy(attempts int) ([]*minion, error) {
	c.configure(attempts, nil)
	var all []*minion
	for i := range 7 {
		label := "a"
		if i == 0 {
			label = "b"
		}
		all = append(all, c.fleet.add(fmt.Sprintf("m-%d", i), "booth", fmt.Sprintf("r%d-1", i/2), 8000, 16000, label))
	}
	if err := c.start(3); err != nil {
		return nil, err
	}
	_, err := c.leader()
	// The entries and minions are calm for longer than contact_ms.
	time.Sleep(4 * time.Second)
	return all, err
}

// casePending cuts off the only minion with a label, hands in jobs that need it, and asks an entry in
// touch how many jobs have not begun.
func casePending(c *caseRun) ([]string, error) {
	const (
		jobs    = 8
		cutTime = 5500 * time.Millisecond
		// visible is visible_ms and the 2 s of the rule.
		visible = 5 * time.Second
	)
	minions, err := c.deploy(3)
	if err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	special := minions[0]
	cutAt := time.Now()
	if c.trouble {
		c.log.say("minion %s is cut off for %v", special.id, cutTime)
		c.fleet.locked(func() { special.cut = true })
		time.AfterFunc(cutTime, func() {
			c.fleet.locked(func() { special.cut = false })
			c.log.say("minion %s is back", special.id)
		})
	}
	var ids []string
	for range jobs {
		id := newID()
		if e.submit(id, []stepSpec{{RunMS: 9000, CPU: 500}}, step{"count": 1, "cpu": 500, "mem_mb": 100, "est_runtime_ms": 9000, "constraints": "b"}) == 200 {
			ids = append(ids, id)
		}
	}
	acceptedAt := time.Now()
	time.Sleep(time.Until(acceptedAt.Add(visible + 50*time.Millisecond)))
	var broken []string
	for time.Since(cutAt) < cutTime-100*time.Millisecond {
		_, answer := e.call("GET", "/plan/", nil)
		n, ok := answer["pending"].(float64)
		waiting := 0
		for _, id := range ids {
			if len(c.fleet.runsOf(id)) == 0 {
				waiting++
			}
		}
		if ok && 2*int(n) < waiting {
			broken = append(broken, fmt.Sprintf("pending is %d while %d jobs that were accepted over 5 s before have not begun", int(n), waiting))
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return broken, nil
}

// caseTwoCrashes crashes the minion that has just begun the only subtask of a job, and a second later
// the minion on which it runs then.
func caseTwoCrashes(c *caseRun) ([]string, error) {
	minions, err := c.deploy(3)
	if err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	id := newID()
	if s := e.submit(id, []stepSpec{{RunMS: 2500, CPU: 1000}}, step{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 2500}); s != 200 {
		return nil, fmt.Errorf("the job was answered with %d", s)
	}
	for crash := 1; c.trouble && crash <= 2; crash++ {
		if !await(10*time.Second, func() bool { return len(c.fleet.runsOf(id)) >= crash }) {
			break
		}
		time.Sleep(150 * time.Millisecond)
		on := c.fleet.runsOf(id)[crash-1].minion
		for _, m := range minions {
			if m.id == on {
				m.crash()
				time.AfterFunc(time.Second, func() {
					m.begin()
					c.log.say("minion %s is up again", m.id)
				})
			}
		}
	}
	state := ""
	await(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = e.state(id)
		return state == "completed" || state == "failed"
	})
	failed := 0
	for _, r := range c.fleet.runsOf(id) {
		c.log.say("run %d of %s on %s: %s", r.attempt, r.task, r.minion, r.how)
		if r.how == "failed" {
			failed++
		}
	}
	switch state {
	case "completed":
		return nil, nil
	case "failed":
		return []string{fmt.Sprintf("the job is shown as failed though %d runs have ended failed and its queue allows 3", failed)}, nil
	}
	return nil, fmt.Errorf("the job is %q after 30 s", state)
}

// caseRenamedRoute stores a config in which the route of an accepted job has another name, and asks for
// the job.
func caseRenamedRoute(c *caseRun) ([]string, error) {
	if _, err := c.deploy(3); err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	id := newID()
	if s := e.submit(id, []stepSpec{{RunMS: 12000, CPU: 1000}}, step{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 12000}); s != 200 {
		return nil, fmt.Errorf("the job was answered with %d", s)
	}
	time.Sleep(4 * time.Second)
	more := map[string]any{}
	if c.trouble {
		more["name"] = "r-plan-b"
	}
	c.configure(3, more)
	c.log.say("the operator has stored version %d: %v", c.version, more)
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
	minions, err := c.deploy(3)
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

// caseLateStart leaves one start unanswered and carries it out 5 s later. Meanwhile its minion is cut
// off, and crashes behind the cut and starts again under its id.
func caseLateStart(c *caseRun) ([]string, error) {
	const (
		lateBy  = 5 * time.Second
		cutTime = 11 * time.Second
	)
	minions, err := c.deploy(3)
	if err != nil {
		return nil, err
	}
	e, err := c.follower()
	if err != nil {
		return nil, err
	}
	taken := make(chan *minion, 1)
	var first atomic.Bool
	first.Store(true)
	if c.trouble {
		c.fleet.locked(func() {
			for _, m := range minions {
				m.late = func(path string) (time.Duration, bool) {
					if path != "/run-start" || !first.CompareAndSwap(true, false) {
						return 0, false
					}
					taken <- m
					return lateBy, true
				}
			}
		})
	}
	id := newID()
	if s := e.submit(id, []stepSpec{{RunMS: 4000, CPU: 1000}}, step{"count": 1, "cpu": 1000, "mem_mb": 100, "est_runtime_ms": 4000}); s != 200 {
		return nil, fmt.Errorf("the job was answered with %d", s)
	}
	if c.trouble {
		m := <-taken
		time.Sleep(300 * time.Millisecond)
		c.log.say("minion %s is cut off for %v, and crashes behind the cut", m.id, cutTime)
		c.fleet.locked(func() { m.cut = true })
		time.AfterFunc(cutTime, func() {
			c.fleet.locked(func() { m.cut = false })
			c.log.say("minion %s is back", m.id)
		})
		m.crash()
		time.Sleep(500 * time.Millisecond)
		m.begin()
		c.log.say("minion %s is up again behind the cut", m.id)
	}
	state := ""
	await(40*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		state = e.state(id)
		return state == "completed"
	})
	if state != "completed" {
		return nil, fmt.Errorf("the job is %q after 40 s", state)
	}
	return c.fleet.doubled(), nil
}
