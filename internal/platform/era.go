package platform

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// eraHeader holds the platform's era, which rises by one each time the platform is
// restored from an older copy of itself. A platform that does not send it is in
// era 0.
const eraHeader = "Platform-Era"

// versionBits are the low bits of a version, which hold the platform's own number.
// The bits above hold the era, so that versions rise across a restoration although
// the platform gives its numbers out again.
const (
	versionBits = 43
	maxNumber   = 1<<versionBits - 1
	maxEra      = 1<<(63-versionBits) - 1
)

// errEarlierEra is the error of a call whose response was sent before a restoration
// that the client already knows of.
var errEarlierEra = errors.New("the response is from before a restoration of the platform")

// EraOf returns the era that a version belongs to.
func EraOf(version int64) int64 { return version >> versionBits }

// numberOf returns the platform's own number of a version.
func numberOf(version int64) int64 { return version & maxNumber }

func newVersion(era, number int64) (int64, error) {
	if number < 0 || number > maxNumber || era < 0 || era > maxEra {
		return 0, errors.Newf("version %d of era %d is out of range", number, era)
	}
	return era<<versionBits | number, nil
}

// etagVersion returns the version in the ETag of a response.
func etagVersion(resp *http.Response) (int64, error) {
	number, err := strconv.ParseInt(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "platform response has no valid version")
	}
	return newVersion(responseEra(resp), number)
}

// responseEra returns the era in which the platform sent a response.
func responseEra(resp *http.Response) int64 {
	era, err := strconv.ParseInt(resp.Header.Get(eraHeader), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// eras tracks the platform's era.
type eras struct {
	mu      sync.Mutex
	current int64
	changes int // number of times that current changed
}

// Era returns the era of the newest response.
func (c *Client) Era() int64 {
	era, _ := c.eras.now()
	return era
}

func (e *eras) now() (era int64, changes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current, e.changes
}

// observe records the era of a response to a call that began after the given number
// of changes. It returns errEarlierEra if the response is outdated. A lower era is
// not outdated if the call began in the current one: the address then leads to
// another platform.
func (e *eras) observe(resp *http.Response, changesAtStart int) error {
	if resp.StatusCode >= http.StatusBadRequest && resp.Header.Get(eraHeader) == "" {
		return nil // may be from an intermediary, which knows no era
	}
	era := responseEra(resp)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case era == e.current:
		return nil
	case era < e.current && e.changes != changesAtStart:
		return errEarlierEra
	}
	e.current = era
	e.changes++
	return nil
}
