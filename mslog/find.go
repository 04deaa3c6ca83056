package mslog

import "context"

// searchResult is the result of searching a stream from an offset to its end.
type searchResult struct {
	// records holds the first record of each id that was found.
	records map[string]Record
	// end is the offset up to which the stream was searched.
	end uint64
	// gap reports whether records at the start of the range had expired. An id
	// that was not found may have been among them.
	gap bool
}

// findRecords reads stream from offset from to its end and collects the
// records whose id is in ids. It stops early once all ids are found.
func (c *Client) findRecords(ctx context.Context, stream string, from uint64, ids map[string]bool) (searchResult, error) {
	s := searchResult{records: map[string]Record{}, end: from}
	for {
		p, err := c.Read(ctx, Query{Stream: stream, From: s.end})
		if err != nil && KindOf(err) == Expired {
			s.gap = true
			s.end = p.First
			continue
		}
		if err != nil {
			return s, err
		}
		for _, r := range p.Records {
			_, seen := s.records[r.ID]
			if ids[r.ID] && !seen {
				s.records[r.ID] = r
			}
		}
		s.end = p.NextOffset(s.end)
		if s.end == p.End || len(s.records) == len(ids) {
			return s, nil
		}
	}
}
