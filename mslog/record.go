package mslog

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Record is one entry of a stream. Writers set ID and Data; the platform sets
// the rest.
type Record struct {
	Offset uint64          `json:"offset"`
	Time   time.Time       `json:"time"`
	ID     string          `json:"id"`
	Data   json.RawMessage `json:"data"`
}

// Page is a run of records and the bounds of the stream when it was read.
type Page struct {
	// First is the oldest offset that is kept.
	First uint64 `json:"first"`
	// End is the offset after the newest record.
	End     uint64   `json:"end"`
	Records []Record `json:"records"`
}

// Next returns the offset to read from after p, which was read from offset
// from.
func (p Page) Next(from uint64) uint64 {
	return from + uint64(len(p.Records))
}

// VM is an entry of the platform's list.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data-centre"`
	Rack       string  `json:"rack"`
	Region     string  `json:"region"`
	State      VMState `json:"state"`
	// Since is when the VM came into State.
	Since time.Time `json:"since,omitzero"`
	// BootID changes with every boot.
	BootID string `json:"boot-id,omitempty"`
	// Running is how many requests the VM ran when it last reported, at ReportedAt.
	Running    int       `json:"running,omitempty"`
	ReportedAt time.Time `json:"reported-at,omitzero"`
}

// VMState says whether a VM may be given work.
type VMState string

// The states of a VM.
const (
	VMLive      VMState = "live"
	VMLeaving   VMState = "leaving"
	VMDraining  VMState = "draining"
	VMRebooting VMState = "rebooting"
	VMFailed    VMState = "failed"
)

// vmList is the platform's answer about its VMs.
type vmList struct {
	// Tag changes with the list, reports aside.
	Tag string `json:"tag"`
	// Unchanged says that the list still is the one of the tag that was named.
	Unchanged bool `json:"unchanged"`
	VMs       []VM `json:"vms"`
}

// newRecord is a record as its writer sends it.
type newRecord struct {
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

type appendBody struct {
	Records []newRecord `json:"records"`
}

type appended struct {
	First *uint64 `json:"first"`
}

// ErrPage is the cause when the platform's answer contradicts itself or the
// request.
var ErrPage = errors.New("inconsistent page")

func encodeAppend(rs []Record) ([]byte, error) {
	if len(rs) == 0 {
		return nil, errors.New("no records")
	}
	b := appendBody{Records: make([]newRecord, 0, len(rs))}
	for _, r := range rs {
		if r.ID == "" {
			return nil, errors.New("record without an id")
		}
		b.Records = append(b.Records, newRecord{ID: r.ID, Data: r.Data})
	}
	return json.Marshal(b)
}

func decodeAppended(body []byte) (uint64, error) {
	var a appended
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, err
	}
	if a.First == nil {
		return 0, errors.New("answer without an offset")
	}
	return *a.First, nil
}

// decodeBounds reads a page that must name its bounds.
func decodeBounds(body []byte) (Page, error) {
	var b struct {
		First   *uint64  `json:"first"`
		End     *uint64  `json:"end"`
		Records []Record `json:"records"`
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return Page{}, err
	}
	if b.First == nil || b.End == nil {
		return Page{}, fmt.Errorf("%w: no bounds", ErrPage)
	}
	return Page{First: *b.First, End: *b.End, Records: b.Records}, nil
}

// DecodePage reads the answer to a read from offset from. It accepts only a
// page whose records follow one another from there without a gap and lie
// within the stream's bounds.
func DecodePage(body []byte, from uint64) (Page, error) {
	p, err := decodeBounds(body)
	if err != nil {
		return Page{}, err
	}
	if p.First > from || from > p.End {
		return Page{}, fmt.Errorf("%w: from %d outside [%d, %d]", ErrPage, from, p.First, p.End)
	}
	if uint64(len(p.Records)) > p.End-from {
		return Page{}, fmt.Errorf("%w: %d records from %d pass the end %d", ErrPage, len(p.Records), from, p.End)
	}
	if len(p.Records) == 0 && from < p.End {
		return Page{}, fmt.Errorf("%w: no records between %d and %d", ErrPage, from, p.End)
	}
	for i, r := range p.Records {
		if r.Offset != from+uint64(i) || r.ID == "" {
			return Page{}, fmt.Errorf("%w: record %d has offset %d and id %q", ErrPage, i, r.Offset, r.ID)
		}
	}
	return p, nil
}
