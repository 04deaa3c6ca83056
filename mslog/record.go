package mslog

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Record is one entry of a stream. Writers set ID and Data; the platform sets
// the other fields.
type Record struct {
	Offset uint64          `json:"offset"`
	Time   time.Time       `json:"time"`
	ID     string          `json:"id"`
	Data   json.RawMessage `json:"data"`
}

// Page is a contiguous range of records, with the stream's bounds at the time
// of the read.
type Page struct {
	// First is the oldest retained offset.
	First uint64 `json:"first"`
	// End is the offset after the newest record.
	End     uint64   `json:"end"`
	Records []Record `json:"records"`
}

// NextOffset returns the offset of the next read, if p was read from offset from.
func (p Page) NextOffset(from uint64) uint64 {
	return from + uint64(len(p.Records))
}

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data-centre"`
	Rack       string  `json:"rack"`
	Region     string  `json:"region"`
	State      VMState `json:"state"`
	// Since is when the VM entered State.
	Since time.Time `json:"since,omitzero"`
	// BootID changes with every boot.
	BootID string `json:"boot-id,omitempty"`
	// Running is the number of requests in progress on the VM at its last
	// report, at ReportedAt.
	Running    int       `json:"running,omitempty"`
	ReportedAt time.Time `json:"reported-at,omitzero"`
}

// VMState is the lifecycle state of a VM. It determines whether the VM may be
// given work.
type VMState string

// The states of a VM.
const (
	VMLive      VMState = "live"
	VMLeaving   VMState = "leaving"
	VMDraining  VMState = "draining"
	VMRebooting VMState = "rebooting"
	VMFailed    VMState = "failed"
)

// vmListResponse is the response to a request for the VM list.
type vmListResponse struct {
	// Tag is the version of the list. Changed reports do not change it.
	Tag string `json:"tag"`
	// Unchanged reports that the list still matches the tag in the request.
	Unchanged bool `json:"unchanged"`
	VMs       []VM `json:"vms"`
}

// recordToAppend is a record of an append request.
type recordToAppend struct {
	ID   string          `json:"id"`
	Data json.RawMessage `json:"data"`
}

type appendRequest struct {
	Records []recordToAppend `json:"records"`
}

type appendResponse struct {
	First *uint64 `json:"first"`
}

// ErrInconsistentPage is the cause when a response is inconsistent in itself or with the
// request.
var ErrInconsistentPage = errors.New("inconsistent page")

func encodeAppendRequest(rs []Record) ([]byte, error) {
	if len(rs) == 0 {
		return nil, errors.New("no records to append")
	}
	b := appendRequest{Records: make([]recordToAppend, 0, len(rs))}
	for _, r := range rs {
		if r.ID == "" {
			return nil, errors.New("record without an id")
		}
		b.Records = append(b.Records, recordToAppend{ID: r.ID, Data: r.Data})
	}
	return json.Marshal(b)
}

func decodeAppendResponse(body []byte) (uint64, error) {
	var a appendResponse
	if err := json.Unmarshal(body, &a); err != nil {
		return 0, err
	}
	if a.First == nil {
		return 0, errors.New("response without an offset")
	}
	return *a.First, nil
}

// decodeBounds decodes a page and requires its bounds to be present.
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
		return Page{}, fmt.Errorf("%w: first or end is missing", ErrInconsistentPage)
	}
	return Page{First: *b.First, End: *b.End, Records: b.Records}, nil
}

// DecodePage decodes the response to a read from offset from. It rejects a
// page whose records are not contiguous from that offset or lie outside the
// stream's bounds.
func DecodePage(body []byte, from uint64) (Page, error) {
	p, err := decodeBounds(body)
	if err != nil {
		return Page{}, err
	}
	if p.First > from || from > p.End {
		return Page{}, fmt.Errorf("%w: from %d outside [%d, %d]", ErrInconsistentPage, from, p.First, p.End)
	}
	if uint64(len(p.Records)) > p.End-from {
		return Page{}, fmt.Errorf("%w: %d records from %d exceed the end %d", ErrInconsistentPage, len(p.Records), from, p.End)
	}
	if len(p.Records) == 0 && from < p.End {
		return Page{}, fmt.Errorf("%w: no records between %d and %d", ErrInconsistentPage, from, p.End)
	}
	for i, r := range p.Records {
		if r.Offset != from+uint64(i) || r.ID == "" {
			return Page{}, fmt.Errorf("%w: record %d has offset %d and id %q", ErrInconsistentPage, i, r.Offset, r.ID)
		}
	}
	return p, nil
}
