package msstandin

import (
	"encoding/json"
	"net/http"
)

// refusal is the body of an answer that says no.
type refusal struct {
	Error string `json:"error"`
}

func refuse(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, refusal{Error: text})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has left needs no answer.
	_, _ = w.Write(body)
}

// readJSON decodes the body of r into v, or answers 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
