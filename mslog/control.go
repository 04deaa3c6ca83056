package mslog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// Actions that the platform accepts for a VM. They are path segments of its
// API.
const (
	actionDrain  = "drain"
	actionOpen   = "open"
	actionReboot = "reboot"
)

// rebootRequest identifies the boot that a reboot is to end.
type rebootRequest struct {
	BootID string `json:"boot-id"`
}

// DrainVM tells the platform to stop placing new work on a VM. It is
// idempotent.
func (c *Client) DrainVM(ctx context.Context, name string) error {
	return c.vmAction(ctx, name, actionDrain, nil)
}

// UndrainVM tells the platform to resume placing new work on a VM. It is
// idempotent.
func (c *Client) UndrainVM(ctx context.Context, name string) error {
	return c.vmAction(ctx, name, actionOpen, nil)
}

// RebootVM tells the platform to reboot a VM if its current boot is still
// bootID. After a lost response the reboot may still happen, but at most once.
func (c *Client) RebootVM(ctx context.Context, name, bootID string) error {
	body, err := json.Marshal(rebootRequest{BootID: bootID})
	if err != nil {
		return err
	}
	return c.vmAction(ctx, name, actionReboot, body)
}

func (c *Client) vmAction(ctx context.Context, name, action string, body []byte) error {
	opErr := Error{Op: action + " vm " + name}
	resp, err := c.do(ctx, http.MethodPost, "http://"+c.Address+"/v1/vms/"+url.PathEscape(name)+"/"+action, body, c.timeout())
	if err != nil && resp.maybeSent {
		return opErr.with(Unknown, err)
	}
	if err != nil {
		return opErr.with(Unavailable, err)
	}
	if resp.status != http.StatusOK {
		return opErr.with(appendKind(resp.status), resp.statusError())
	}
	return nil
}
