package relay

import (
	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

// reserveResponse returns a reservation for the response of one attempt.
func (x *exchange) reserveResponse(t *dispatch.Ticket) *memory.Reservation {
	return x.memory.Reserve(memory.Responses, t.Endpoint.ID, memory.FreeBodyBytes)
}
