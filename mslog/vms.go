package mslog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// allReports asks for the reports of every VM.
const allReports = "*"

// VMs returns the platform's list of VMs, which lags behind the truth, without
// their reports. A list that has not changed since the last call is not sent
// again. The caller must not change it.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	known := c.tag
	c.mu.Unlock()
	l, err := c.askVMs(ctx, url.Values{"known": {known}})
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Unchanged && l.Tag == c.tag {
		return c.list, nil
	}
	c.list = l.VMs
	c.tag = l.Tag
	return l.VMs, nil
}

// VMReports returns the named VMs with what they last reported, or all VMs
// where none is named.
func (c *Client) VMReports(ctx context.Context, names ...string) ([]VM, error) {
	if len(names) == 0 {
		names = []string{allReports}
	}
	l, err := c.askVMs(ctx, url.Values{"report": names})
	return l.VMs, err
}

func (c *Client) askVMs(ctx context.Context, v url.Values) (vmList, error) {
	fail := Error{Op: "vms"}
	a, err := c.do(ctx, http.MethodGet, "http://"+c.Address+"/v1/vms?"+v.Encode(), nil, c.timeout())
	if err != nil {
		return vmList{}, fail.with(Unavailable, err)
	}
	if a.status != http.StatusOK {
		return vmList{}, fail.with(readKind(a.status), a.err())
	}
	var l vmList
	if err := json.Unmarshal(a.body, &l); err != nil {
		return vmList{}, fail.with(Unavailable, err)
	}
	return l, nil
}
