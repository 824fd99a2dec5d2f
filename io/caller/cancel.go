package caller

import "crypto/subtle"

// cancel stops the running batch of the session whose BackendKeyData had this process ID
// and secret. Drivers send a CancelRequest on a separate connection. Nothing happens if no
// session matches.
func (s *Server) cancel(pid uint32, secret []byte) {
	for _, sess := range s.openSessions() {
		if sess.matches(pid, secret) {
			sess.cancelRunningBatch()
		}
	}
}

// matches compares the secret in constant time, so that it can't be guessed byte by byte.
func (s *session) matches(pid uint32, secret []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pid == pid && len(s.cancelSecret) > 0 && subtle.ConstantTimeCompare(s.cancelSecret, secret) == 1
}

func (s *session) cancelRunningBatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelBatch != nil {
		s.cancelBatch()
	}
}
