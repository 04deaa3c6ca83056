package mslog

import "context"

// search is what a look at a stream's tail has found.
type search struct {
	// records holds the first record of each id that was looked for.
	records map[string]Record
	// end is the stream's end that the look has reached.
	end uint64
	// gap says that records from the start of the look had expired, so that an
	// id which was not found may have been among them.
	gap bool
}

// find reads stream from offset from to its end and picks the records whose id
// is in ids.
func (c *Client) find(ctx context.Context, stream string, from uint64, ids map[string]bool) (search, error) {
	s := search{records: map[string]Record{}, end: from}
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
		s.end = p.Next(s.end)
		if s.end == p.End || len(s.records) == len(ids) {
			return s, nil
		}
	}
}
