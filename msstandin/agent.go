package msstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"marjoramspan/msclock"
)

// agentPause is the pause between two reports of a VM.
const agentPause = 100 * time.Millisecond

// Agent reports one upstream to the platform and takes its orders. All fields
// but Clock and HTTP must be set.
type Agent struct {
	Upstream *Upstream
	// Platform is the platform's address.
	Platform string
	Report   VMReport
	Clock    msclock.Clock
	HTTP     *http.Client
	// boots counts the boots. It belongs to Run.
	boots int
}

// Run reports until ctx is done, or until the platform orders a reboot of the
// present boot, and returns whether it did.
func (a *Agent) Run(ctx context.Context) bool {
	a.boots++
	a.Report.BootID = fmt.Sprintf("%s-boot-%d", a.Upstream.Name, a.boots)
	for {
		a.Report.Running = a.Upstream.Running()
		orders, err := a.send(ctx)
		if err == nil {
			a.Upstream.Drain(orders.Drain)
		}
		if err == nil && orders.Reboot == a.Report.BootID {
			return true
		}
		if msclock.Sleep(ctx, a.Clock, agentPause) != nil {
			return false
		}
	}
}

func (a *Agent) send(ctx context.Context) (VMOrders, error) {
	var orders VMOrders
	body, err := json.Marshal(a.Report)
	if err != nil {
		return orders, err
	}
	target := "http://" + a.Platform + "/v1/vms/" + a.Upstream.Name + "/report"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return orders, err
	}
	res, err := a.HTTP.Do(req)
	if err != nil {
		return orders, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(res.Body).Decode(&orders)
	return orders, err
}

// Running returns how many requests run now.
func (u *Upstream) Running() int {
	u.start()
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// Drain refuses new requests, or takes them again.
func (u *Upstream) Drain(on bool) {
	u.start()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.draining = on
}

// Reboot counts the requests that a reboot cuts now.
func (u *Upstream) Reboot() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.journal.Reboots++
	u.journal.Cut += u.running
	u.draining = false
}
