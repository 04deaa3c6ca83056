package mslog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
)

// The orders that the platform takes for a VM.
const (
	orderDrain  = "drain"
	orderOpen   = "open"
	orderReboot = "reboot"
)

// rebootBody says which boot a reboot is to end.
type rebootBody struct {
	BootID string `json:"boot-id"`
}

// DrainVM has the platform stop new work on a VM. Repeating it is harmless.
func (c *Client) DrainVM(ctx context.Context, name string) error {
	return c.order(ctx, name, orderDrain, nil)
}

// OpenVM has the platform allow new work on a VM. Repeating it is harmless.
func (c *Client) OpenVM(ctx context.Context, name string) error {
	return c.order(ctx, name, orderOpen, nil)
}

// RebootVM has the platform reboot a VM, provided that its boot is still the
// one named. After a lost answer the reboot may still happen, once.
func (c *Client) RebootVM(ctx context.Context, name, bootID string) error {
	body, err := json.Marshal(rebootBody{BootID: bootID})
	if err != nil {
		return err
	}
	return c.order(ctx, name, orderReboot, body)
}

func (c *Client) order(ctx context.Context, name, order string, body []byte) error {
	fail := Error{Op: order + " vm " + name}
	a, err := c.do(ctx, http.MethodPost, "http://"+c.Address+"/v1/vms/"+url.PathEscape(name)+"/"+order, body, c.timeout())
	if err != nil && a.sent {
		return fail.with(Unknown, err)
	}
	if err != nil {
		return fail.with(Unavailable, err)
	}
	if a.status != http.StatusOK {
		return fail.with(appendKind(a.status), a.err())
	}
	return nil
}
