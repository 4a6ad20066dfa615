package dispatch

// TrackedParts returns how many parts are tracked for an endpoint.
func (d *Dispatcher) TrackedParts(id string) int { return len(d.endpoints[id].cache.lastUse) }
