package msstate

import (
	"encoding/json"
	"strings"
	"time"

	"marjoramspan/mslog"
)

// Kinds of changes that evacuate a data centre and revoke that. Both are decided on any
// version: they must not wait for other changes.
const (
	KindZoneEvacuate Kind = "zone-evacuate"
	KindZoneRelease  Kind = "zone-release"
)

// ZoneChange is the body of the changes that evacuate and release a data centre.
type ZoneChange struct {
	DataCentre string `json:"data-centre"`
	// Why is the operator's reason, for the audit trail.
	Why string `json:"why"`
}

// Evacuation is a data centre whose VMs get no new work.
type Evacuation struct {
	Version uint64 `json:"version"`
	// Since is the log time of the record that began the evacuation.
	Since time.Time `json:"since"`
	By    string    `json:"by"`
	Why   string    `json:"why"`
}

// Evacuated reports whether a data centre is evacuated.
func (s *State) Evacuated(dataCentre string) bool {
	_, ok := s.Evacuations[dataCentre]
	return ok
}

func (s *State) applyZoneRecord(c Change, r mslog.Record) voidReason {
	var body ZoneChange
	if err := json.Unmarshal(c.Body, &body); err != nil {
		return voidReason("invalid body: " + err.Error())
	}
	if strings.TrimSpace(body.DataCentre) == "" || strings.TrimSpace(body.Why) == "" {
		return "the data centre and the reason must not be empty"
	}
	switch known := s.Evacuated(body.DataCentre); {
	case c.Kind == KindZoneEvacuate && known:
		return voidReason("data centre " + body.DataCentre + " is evacuated already")
	case c.Kind == KindZoneRelease && !known:
		return voidReason("data centre " + body.DataCentre + " is not evacuated")
	case c.Kind == KindZoneRelease:
		delete(s.Evacuations, body.DataCentre)
		return accepted
	}
	if s.Evacuations == nil {
		s.Evacuations = map[string]Evacuation{}
	}
	s.Evacuations[body.DataCentre] = Evacuation{Version: r.Offset + 1, Since: r.Time, By: c.By, Why: body.Why}
	return accepted
}
