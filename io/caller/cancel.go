package caller

import "crypto/subtle"

// cancel stops the running statement of the session that was given this pair, as a
// driver asks on a connection of its own. An unknown pair does nothing.
func (s *Server) cancel(pid uint32, secret []byte) {
	for _, sess := range s.all() {
		if sess.matches(pid, secret) {
			sess.cancelRunning()
		}
	}
}

func (s *session) matches(pid uint32, secret []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pid == pid && len(s.secret) > 0 && subtle.ConstantTimeCompare(s.secret, secret) == 1
}

func (s *session) cancelRunning() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running != nil {
		s.running()
	}
}
