package order

import (
	"fmt"
	"strconv"
)

// Verb is a kind of platform call.
type Verb uint8

// The kinds of platform call.
const (
	Get Verb = iota + 1
	Put
	Delete
)

// Call is a platform call that a shard asks its driver to make.
type Call struct {
	Verb    Verb
	Object  string // key of the object
	Value   []byte // for Put
	Version int64  // for Put and Delete: the version the object must have; 0: it must not exist

	purpose purpose
	seq     int
}

// purpose selects how HandleResult processes the result of a call.
type purpose uint8

const (
	readHead purpose = iota + 1
	readSegment
	createSegment
	writeSegment
	writeHead
	readExpired
	deleteSegment
)

// CallStatus is the status of a completed platform call.
type CallStatus uint8

// The statuses of a platform call.
const (
	CallOK        CallStatus = iota + 1
	CallNotFound             // Get and Delete: the object does not exist
	CallConflict             // Put and Delete: the object has another version
	CallUncertain            // Put and Delete: may have taken effect, or may still do so later
	CallFailed               // nothing was read or changed
)

// CallResult is the result of a platform call.
type CallResult struct {
	Status  CallStatus
	Version int64  // of the object read or written
	Value   []byte // for Get
	// Era rises each time the platform is restored from an older copy of itself; 0:
	// the platform does not tell. Versions are ordered across eras.
	Era int64
}

// head is the stored object that marks the start of a shard's chain. It is
// never deleted, and First never decreases.
type head struct {
	First   int `json:"first"` // oldest segment that is part of the chain
	Deleted int `json:"swept"` // segments below it are deleted; those from here up to First may be deleted already
}

func (s *Shard) headObject() string { return "orders/" + strconv.Itoa(s.cfg.Number) + "/head" }

func (s *Shard) segmentObject(seq int) string {
	return fmt.Sprintf("orders/%d/%08d", s.cfg.Number, seq)
}
