package memory

import "runtime/debug"

const (
	// ConnectionBytes is what each client connection reserves: the buffers and stacks
	// of the HTTP server, and kernel buffers of limitio.SmallBuffer in both directions,
	// which the kernel doubles.
	ConnectionBytes = 40 << 10
	// kernelFraction is the part of ConnectionBytes that the kernel may hold.
	kernelFraction = 0.7
	// kernelStep is the change of what the kernel may hold from which the limit of the
	// Go runtime follows. Setting it stops the process for some microseconds.
	kernelStep = 4 << 20
)

// kernelShare is what the kernel may hold for client connections. The Go runtime doesn't
// know it and would let garbage grow into it.
type kernelShare struct {
	limit int64 // of the Go runtime and the kernel together, in bytes; 0: not followed
	held  int64
	set   int64 // held when the limit of the runtime was set last
}

// LimitRuntime limits the memory of the Go runtime to a number of bytes, less what the
// kernel may hold for client connections.
func (b *Budget) LimitRuntime(bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kernel.limit = bytes
	b.kernel.apply()
}

// add is called by the holder of Budget.mu.
func (k *kernelShare) add(c Class, n int64) {
	switch c {
	case Connections, Control:
		k.held += int64(kernelFraction * float64(n))
	case Buffers:
		k.held += n
	default:
		return
	}
	if k.limit > 0 && (k.held-k.set >= kernelStep || k.set-k.held >= kernelStep) {
		k.apply()
	}
}

func (k *kernelShare) apply() {
	k.set = k.held
	debug.SetMemoryLimit(k.limit - k.held)
}
