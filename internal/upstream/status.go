package upstream

import (
	"net/http"
	"strconv"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/code"
)

var invalidStatuses = metrics.NewCounter("cyclamenwinch_endpoint_invalid_statuses_total")

// errInvalidStatus means that a response has a status that no response may have.
var errInvalidStatus = errors.New("invalid status of a response")

// checkStatus returns an error for a status that is neither final nor interim.
func checkStatus(status int) error {
	if code.IsFinalStatus(status) || status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
		return nil
	}
	invalidStatuses.Inc()
	return errors.Wrap(errInvalidStatus, strconv.Itoa(status))
}
