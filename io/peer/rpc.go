package peer

// service is what other instances can call. It is registered under the name Peer.
type service struct {
	fleet *Fleet
}

// Ping answers a heartbeat.
func (s *service) Ping(ask *Greeting, answer *Greeting) error {
	s.fleet.greeted(ask)
	*answer = s.fleet.answer(ask)
	return nil
}

// Record answers with the record of rights.
func (s *service) Record(ask *RecordAsk, answer *RecordAnswer) error {
	text, err := s.fleet.recordText(ask.Epoch)
	answer.Text = text
	return err
}

// Config answers with a configuration document.
func (s *service) Config(ask *ConfigAsk, answer *ConfigAnswer) error {
	document, found := s.fleet.config.ConfigDocument(ask.Version)
	if !found {
		return nil
	}
	packed, err := s.fleet.spread.packer.pack(ask.Version, document)
	if err != nil {
		return err
	}
	answer.Packed, answer.Found = packed, true
	return nil
}

// Draw answers with tokens.
func (s *service) Draw(ask *DrawAsk, answer *DrawAnswer) error {
	*answer = s.fleet.draw(ask)
	return nil
}

// Release answers whether a right is handed over.
func (s *service) Release(ask *ReleaseAsk, answer *ReleaseAnswer) error {
	*answer = s.fleet.moves.release(ask)
	return nil
}

// Offer fetches rights from the sender's side and says which are owned.
func (s *service) Offer(ask *OfferAsk, answer *OfferAnswer) error {
	answer.Taken = s.fleet.moves.offered(ask)
	return nil
}
