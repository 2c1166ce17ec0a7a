package coordination

// cutOff reports whether this host has lost all targets.
func (m *Member) cutOff() bool { return m.options.CutOff != nil && m.options.CutOff() }

// addRelayState adds to a report what the coordinator must know to choose relays.
func (m *Member) addRelayState(r *Report) {
	o := &m.options
	r.RelayAddress, r.DataCentre, r.CutOff = o.RelayAddress, o.DataCentre, m.cutOff()
	r.AcceptsRelayed = o.AcceptsRelayed != nil && o.AcceptsRelayed()
	r.KnownRelays = m.State().relaysVersion
}

// relaysAfter returns the relays and their version after a reply. A reply without a list does not change them.
func (s *State) relaysAfter(r *Reply) ([]Relay, uint64) {
	if r.RelaysVersion == 0 {
		return s.Relays, s.relaysVersion
	}
	return r.Relays, r.RelaysVersion
}
