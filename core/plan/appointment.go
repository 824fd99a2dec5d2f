package plan

import "pomelofork/core/model"

// Appointment says which server is to be used as the primary of a service. The zero value says
// that no server was appointed yet: the one that reports the role is the primary.
type Appointment struct {
	// Server is the appointed server. It is empty between the withdrawal of an appointment and
	// the next one.
	Server model.ServerID
	// Epoch is the store's revision of the appointment. Later appointments have higher ones.
	Epoch uint64
}

// Apply sets the fields of a server that depend on the appointment of its service.
func (a Appointment) Apply(s Server) Server {
	s.Primary = s.ReportsPrimary && (a.Epoch == 0 || a.Server == s.ID)
	s.Epoch = a.Epoch
	return s
}
