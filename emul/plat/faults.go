package plat

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"pomelofork/io/store/memkv"
)

// faults are the switches of a stand-in.
type faults struct {
	outage     bool
	delay      time.Duration
	loseShare  float64
	listingLag time.Duration
}

// faultsMessage is the body of a control call. Absent fields keep their value.
type faultsMessage struct {
	Outage           *bool    `json:"outage"`
	DelayMs          *int64   `json:"delay_ms"`
	LoseAnswersShare *float64 `json:"lose_answers_share"`
	InstancesLagMs   *int64   `json:"instances_lag_ms"`
}

// apply changes the switches that the message names.
func (f *faults) apply(m faultsMessage) {
	if m.Outage != nil {
		f.outage = *m.Outage
	}
	if m.DelayMs != nil {
		f.delay = time.Duration(*m.DelayMs) * time.Millisecond
	}
	if m.LoseAnswersShare != nil {
		f.loseShare = *m.LoseAnswersShare
	}
	if m.InstancesLagMs != nil {
		f.listingLag = time.Duration(*m.InstancesLagMs) * time.Millisecond
	}
}

// message returns the switches as a control call shows them.
func (f *faults) message() faultsMessage {
	delay, lag := f.delay.Milliseconds(), f.listingLag.Milliseconds()
	return faultsMessage{Outage: &f.outage, DelayMs: &delay, LoseAnswersShare: &f.loseShare, InstancesLagMs: &lag}
}

// faulty wraps a call of the platform with the switches. An answer that gets lost
// is made in full, so the call takes effect, and then the connection is cut.
func (s *Server) faulty(call http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !buffer(w, r) {
			return
		}
		delay, lose := s.draw()
		if !sleep(r, delay) {
			return
		}
		if !lose {
			call(w, r)
			return
		}
		call(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// buffer reads the whole body ahead of the delay. The server notices a caller that
// has gone only once the body is read.
func buffer(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		fail(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// bounded wraps a call of the control, which no switch slows.
func bounded(call http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if buffer(w, r) {
			call(w, r)
		}
	}
}

// draw returns the delay of one call and whether its answer gets lost.
func (s *Server) draw() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.delay, s.faults.loseShare > 0 && s.random.Float64() < s.faults.loseShare
}

// sleep waits and reports whether the caller is still there.
func sleep(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// change applies a control message and returns the switches as they now are.
func (s *Server) change(m faultsMessage) faultsMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.apply(m)
	s.kv.SetFaults(memkv.Faults{Outage: s.faults.outage})
	s.kv.SetInstancesLag(s.faults.listingLag)
	return s.faults.message()
}
