package peer

// service holds the methods that other instances call. It is registered with net/rpc under
// the name Peer.
type service struct {
	fleet *Fleet
}

// Ping handles a heartbeat and returns this instance's state.
func (s *service) Ping(request *Heartbeat, response *Heartbeat) error {
	s.fleet.handleHeartbeat(request)
	*response = s.fleet.heartbeatResponse(request)
	return nil
}

// Record returns the record of rights if it is newer than the requested epoch.
func (s *service) Record(request *RecordRequest, response *RecordResponse) error {
	text, err := s.fleet.newerRecord(request.Epoch)
	response.Text = text
	return err
}

// Config returns a configuration document.
func (s *service) Config(request *ConfigRequest, response *ConfigResponse) error {
	document, found := s.fleet.config.ConfigDocument(request.Version)
	if !found {
		return nil
	}
	packed, err := s.fleet.configs.packer.pack(request.Version, document)
	if err != nil {
		return err
	}
	response.Packed, response.Found = packed, true
	return nil
}

// Draw grants tokens of a share, if this instance may issue them.
func (s *service) Draw(request *DrawRequest, response *DrawResponse) error {
	*response = s.fleet.draw(request)
	return nil
}

// Release hands a right over to the caller, if that is possible now.
func (s *service) Release(request *ReleaseRequest, response *ReleaseResponse) error {
	*response = s.fleet.handovers.handleRelease(request)
	return nil
}

// Offer fetches the offered rights from their former holder and returns which of them this
// instance owns now.
func (s *service) Offer(request *OfferRequest, response *OfferResponse) error {
	response.Taken = s.fleet.handovers.handleOffer(request)
	return nil
}
