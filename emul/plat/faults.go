package plat

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"time"

	"pomelofork/io/store/memkv"
)

// faults are the faults that the emulator injects: an outage, a delay of each call, the
// share of the answers that are lost, and the lag with which the list of instances follows
// its changes.
type faults struct {
	outage           bool
	delay            time.Duration
	loseAnswersShare float64
	instancesLag     time.Duration
}

// faultsMessage is the body of the control call for faults. Absent fields keep their value.
type faultsMessage struct {
	Outage           *bool    `json:"outage"`
	DelayMs          *int64   `json:"delay_ms"`
	LoseAnswersShare *float64 `json:"lose_answers_share"`
	InstancesLagMs   *int64   `json:"instances_lag_ms"`
}

// apply changes the faults that are set in the message.
func (f *faults) apply(m faultsMessage) {
	if m.Outage != nil {
		f.outage = *m.Outage
	}
	if m.DelayMs != nil {
		f.delay = time.Duration(*m.DelayMs) * time.Millisecond
	}
	if m.LoseAnswersShare != nil {
		f.loseAnswersShare = *m.LoseAnswersShare
	}
	if m.InstancesLagMs != nil {
		f.instancesLag = time.Duration(*m.InstancesLagMs) * time.Millisecond
	}
}

// message returns all faults in the form of the control call's answer.
func (f *faults) message() faultsMessage {
	delay, lag := f.delay.Milliseconds(), f.instancesLag.Milliseconds()
	return faultsMessage{Outage: &f.outage, DelayMs: &delay, LoseAnswersShare: &f.loseAnswersShare, InstancesLagMs: &lag}
}

// withFaults wraps the handler of a call of the platform with the delay and the loss of
// answers. If the answer is to be lost, the call still takes effect, and then the
// connection is closed without an answer.
func (s *Server) withFaults(handle http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !bufferBody(w, r) {
			return
		}
		delay, loseAnswer := s.chooseFaults()
		if !waitDelay(r, delay) {
			return
		}
		if !loseAnswer {
			handle(w, r)
			return
		}
		handle(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

// bufferBody reads the whole body before the delay, because net/http detects that the
// client has closed the connection only after the body has been read. If the body can't be
// read or is larger than maxBodyBytes, it sends an error and returns false.
func bufferBody(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return true
}

// withBufferedBody wraps the handler of a control call, to which no faults apply, and
// limits the size of its body.
func withBufferedBody(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if bufferBody(w, r) {
			handle(w, r)
		}
	}
}

// chooseFaults returns the delay of one call and whether its answer is lost, which is
// chosen at random.
func (s *Server) chooseFaults() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.delay, s.faults.loseAnswersShare > 0 && s.random.Float64() < s.faults.loseAnswersShare
}

// waitDelay waits for the delay. It returns false if the client closes the connection
// first.
func waitDelay(r *http.Request, delay time.Duration) bool {
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

// changeFaults applies a control message and returns the faults that are then in effect.
func (s *Server) changeFaults(m faultsMessage) faultsMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.apply(m)
	s.kv.SetFaults(memkv.Faults{Outage: s.faults.outage})
	s.kv.SetInstancesLag(s.faults.instancesLag)
	return s.faults.message()
}
