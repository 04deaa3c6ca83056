package msoperator

import (
	"context"
	"sort"

	"marjoramspan/msstate"
)

// Zone is a data centre with its VMs, and its evacuation if there is one.
type Zone struct {
	DataCentre string `json:"data-centre"`
	// VMs is the number of its VMs, Up that of VMs that get work, and Running the number
	// of requests on them at their last reports.
	VMs        int                 `json:"vms"`
	Up         int                 `json:"up"`
	Running    int                 `json:"running"`
	Evacuation *msstate.Evacuation `json:"evacuation,omitempty"`
}

// Zones returns the data centres of the fleet and those that are evacuated, by name.
func (o *Operator) Zones(ctx context.Context) ([]Zone, error) {
	f, err := o.Fleet(ctx)
	if err != nil {
		return nil, err
	}
	byName := map[string]*Zone{}
	for i := range f.Table.VMs {
		v := &f.Table.VMs[i]
		z := byName[v.DataCentre]
		if z == nil {
			z = &Zone{DataCentre: v.DataCentre}
			byName[v.DataCentre] = z
		}
		z.VMs++
		z.Running += v.Running
		if v.Up() {
			z.Up++
		}
	}
	for name, e := range f.State.Evacuations {
		if byName[name] == nil {
			byName[name] = &Zone{DataCentre: name}
		}
		byName[name].Evacuation = &e
	}
	zones := make([]Zone, 0, len(byName))
	for _, z := range byName {
		zones = append(zones, *z)
	}
	sort.Slice(zones, func(i, k int) bool { return zones[i].DataCentre < zones[k].DataCentre })
	return zones, nil
}
