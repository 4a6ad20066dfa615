package edge

import (
	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/internal/memory"
)

const (
	// gcMemoryFraction is the fraction of the memory limit that is set as the
	// soft memory limit of the Go runtime. It exceeds what requests and responses may
	// hold, since the collector would run all the time otherwise.
	gcMemoryFraction = 0.9
	// requestMemoryFraction is the fraction of the memory limit that requests and
	// responses in progress may hold. The rest is left for what the process holds
	// without any, for garbage and for kernel buffers.
	requestMemoryFraction = 0.84
	// minOtherMemory is the least that is left for these, in bytes. A router of a small
	// fleet without requests takes 16 MB.
	minOtherMemory = 24 << 20
	// cachedPartsFraction is the fraction of what requests and responses may hold that is
	// kept for what is known of cached prompt parts.
	cachedPartsFraction = 1.0 / 16
)

// requestMemory returns how much of the memory limit of the process clients' connections,
// requests and responses in progress may hold; 0: no limit.
func requestMemory(limit int64) int64 {
	if limit == 0 {
		return 0
	}
	return max(1, min(int64(requestMemoryFraction*float64(limit)), limit-minOtherMemory))
}

// reserveCachedParts reserves memory for what is known of cached prompt parts. It returns
// the number of parts; 0: no limit.
func reserveCachedParts(b *memory.Budget, requestMemory int64) (int, error) {
	n := int64(cachedPartsFraction * float64(requestMemory))
	if n > 0 && !b.Reserve(memory.State, "cached prompt parts", 0).Resize(n) {
		return 0, errors.Newf("reserve %d bytes for cached prompt parts", n)
	}
	return int(n / dispatch.CachedPartBytes), nil
}
