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

// Call is one platform call that the shell is to make for a shard.
type Call struct {
	Verb    Verb
	Object  string // the object's key
	Value   []byte // for Put
	Version int64  // for Put and Delete: the version required; 0: no such object

	purpose purpose
	seq     int
}

// purpose says what the result of a call is for.
type purpose uint8

const (
	readHead purpose = iota + 1
	readSegment
	createSegment
	writeSegment
	writeHead
	readDoomed
	deleteSegment
)

// Status is how a platform call ended.
type CallStatus uint8

// The ends of a platform call.
const (
	CallOK        CallStatus = iota + 1
	CallNotFound             // Get and Delete: no such object
	CallConflict             // Put and Delete: the object has another version
	CallUncertain            // Put and Delete: may or may not have taken effect, now or later
	CallFailed               // nothing was changed and nothing was read
)

// Result is the result of a platform call.
type CallResult struct {
	Status  CallStatus
	Version int64  // of the object read or written
	Value   []byte // for Get
}

// head is the object that says where a shard's chain begins. It is never
// removed, and First never falls.
type head struct {
	First int `json:"first"` // the oldest segment that counts
	Swept int `json:"swept"` // segments below it are deleted, those up to First may be
}

func (s *Shard) headObject() string { return "orders/" + strconv.Itoa(s.cfg.Number) + "/head" }

func (s *Shard) segmentObject(seq int) string {
	return fmt.Sprintf("orders/%d/%08d", s.cfg.Number, seq)
}
