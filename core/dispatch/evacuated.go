package dispatch

// Evacuated says that all servers of the service are in evacuated zones. They get no
// requests, even if no other server is left.
const Evacuated RefusalReason = "evacuated"

// SetEvacuated sets whether the service has servers in evacuated zones, which SetServers
// does not list. It must be called before SetServers.
func (p *Pool) SetEvacuated(evacuated bool) { p.evacuated = evacuated }

// noServerReason returns why a service without listed servers refuses requests.
func (p *Pool) noServerReason() RefusalReason {
	if p.evacuated {
		return Evacuated
	}
	return NoServer
}
