package mssite

import "sort"

// Evacuate stores that operators evacuate a data centre. It stays evacuated until
// Release, or until a listing of all records doesn't name it.
func (h *Store) Evacuate(dataCentre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated == nil {
		h.evacuated = map[string]bool{}
	}
	h.evacuated[dataCentre] = true
	if h.listed != nil {
		h.listed[dataCentre] = true
	}
}

// Release revokes the evacuation of a data centre.
func (h *Store) Release(dataCentre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.evacuated, dataCentre)
	delete(h.listed, dataCentre)
}

// BeginListing is called before all records are applied anew, as after records have
// expired before they were read. The known evacuations stay in effect until EndListing,
// so that no reader sees a data centre as released in between.
func (h *Store) BeginListing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = map[string]bool{}
}

// EndListing revokes the evacuations that no record has named since BeginListing: their
// records were deleted unseen.
func (h *Store) EndListing() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listed != nil {
		h.evacuated, h.listed = h.listed, nil
	}
}

// Evacuated reports whether a data centre is evacuated.
func (h *Store) Evacuated(dataCentre string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.evacuated[dataCentre]
}

// Evacuations returns the evacuated data centres, sorted.
func (h *Store) Evacuations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []string
	for name := range h.evacuated {
		all = append(all, name)
	}
	sort.Strings(all)
	return all
}
