package msoperator

import (
	"context"

	"marjoramspan/mspool"
	"marjoramspan/msstate"
)

// ZoneChanged is the result of an accepted evacuation or release of a data centre.
type ZoneChanged struct {
	Version    uint64 `json:"version"`
	DataCentre string `json:"data-centre"`
	// Short has the pools that serve with fewer VMs than their budget needs after the
	// change.
	Short []mspool.PoolHealth `json:"short,omitempty"`
}

// EvacuateZone lets the VMs of a data centre get no new work until ReleaseZone. It rejects
// a name that no VM has, which is a typing error.
func (o *Operator) EvacuateZone(ctx context.Context, dataCentre, why string) (ZoneChanged, error) {
	const op = "zone evacuate"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return ZoneChanged{}, err
	}
	t, err := o.fleetTable(ctx, op, s)
	if err != nil {
		return ZoneChanged{}, err
	}
	found := false
	for i := range t.VMs {
		if t.VMs[i].DataCentre == dataCentre {
			t.VMs[i].Evacuated, found = true, true
		}
	}
	if !found {
		return ZoneChanged{}, &Error{Op: op, Kind: Invalid, Reason: "no VM is in data centre " + dataCentre}
	}
	c := msstate.NewChange(msstate.KindZoneEvacuate, o.By, s.Next, msstate.ZoneChange{DataCentre: dataCentre, Why: why})
	v, err := o.appendChange(ctx, op, s.Next, c)
	if err != nil {
		return ZoneChanged{}, err
	}
	z := ZoneChanged{Version: v, DataCentre: dataCentre}
	for _, h := range mspool.Health(s.Wave.MarkOutOfService(t)) {
		if h.Margin < 0 {
			z.Short = append(z.Short, h)
		}
	}
	return z, nil
}

// ReleaseZone revokes the evacuation of a data centre.
func (o *Operator) ReleaseZone(ctx context.Context, dataCentre, why string) (ZoneChanged, error) {
	const op = "zone release"
	_, s, err := o.readState(ctx, op)
	if err != nil {
		return ZoneChanged{}, err
	}
	c := msstate.NewChange(msstate.KindZoneRelease, o.By, s.Next, msstate.ZoneChange{DataCentre: dataCentre, Why: why})
	v, err := o.appendChange(ctx, op, s.Next, c)
	return ZoneChanged{Version: v, DataCentre: dataCentre}, err
}
