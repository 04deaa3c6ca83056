package mslog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// allVMs requests the reports of every VM.
const allVMs = "*"

// VMs returns the platform's VM list without reports. The list is eventually
// consistent. It is cached and transferred again only after a change, so the
// caller must not modify it.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	c.mu.Lock()
	knownTag := c.cachedTag
	c.mu.Unlock()
	l, err := c.fetchVMs(ctx, url.Values{"known": {knownTag}})
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Unchanged && l.Tag == c.cachedTag {
		return c.cachedVMs, nil
	}
	c.cachedVMs = l.VMs
	c.cachedTag = l.Tag
	return l.VMs, nil
}

// VMReports returns the named VMs with their last reports, or all VMs if no
// name is given.
func (c *Client) VMReports(ctx context.Context, names ...string) ([]VM, error) {
	if len(names) == 0 {
		names = []string{allVMs}
	}
	l, err := c.fetchVMs(ctx, url.Values{"report": names})
	return l.VMs, err
}

func (c *Client) fetchVMs(ctx context.Context, v url.Values) (vmListResponse, error) {
	opErr := Error{Op: "vms"}
	resp, err := c.do(ctx, http.MethodGet, "http://"+c.Address+"/v1/vms?"+v.Encode(), nil, c.timeout())
	if err != nil {
		return vmListResponse{}, opErr.with(Unavailable, err)
	}
	if resp.status != http.StatusOK {
		return vmListResponse{}, opErr.with(readKind(resp.status), resp.statusError())
	}
	var l vmListResponse
	if err := json.Unmarshal(resp.body, &l); err != nil {
		return vmListResponse{}, opErr.with(Unavailable, err)
	}
	return l, nil
}
