package plat

import (
	"net/http"

	"pomelofork/io/store"
)

// setFaults changes the faults that are set in the body, and answers with all faults.
func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var m faultsMessage
	if !decodeBody(w, r, &m) {
		return
	}
	if m.LoseAnswersShare != nil && (*m.LoseAnswersShare < 0 || *m.LoseAnswersShare > 1) {
		writeError(w, http.StatusBadRequest, "bad_request", "lose_answers_share: want 0 to 1")
		return
	}
	writeJSON(w, http.StatusOK, s.changeFaults(m))
}

// setInstances replaces the list of instances. The calls of the platform answer with the
// new list only after the lag that is set by setFaults.
func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var m store.InstanceList
	if !decodeBody(w, r, &m) {
		return
	}
	s.kv.SetInstances(m.Instances)
	writeJSON(w, http.StatusOK, m)
}

// calls answers with the number of times that each call was made.
func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.kv.Calls())
}
