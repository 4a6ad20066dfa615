package mesh

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// polled reports whether the network poller of this process waits for a descriptor.
func polled(t *testing.T, fd int) bool {
	t.Helper()
	links, err := filepath.Glob("/proc/self/fd/*")
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range links {
		// An error means that the descriptor has been closed since the listing.
		if target, _ := os.Readlink(link); target != "anon_inode:[eventpoll]" {
			continue
		}
		info, err := os.ReadFile(filepath.Join("/proc/self/fdinfo", filepath.Base(link)))
		if err != nil {
			t.Fatal(err)
		}
		if regexp.MustCompile(fmt.Sprintf(`(?m)^tfd:\s+%d\s`, fd)).Match(info) {
			return true
		}
	}
	return false
}

// TestArrivingHeartbeatsDoNotWakeTheProcess guards against a router of a large fleet
// that spends its CPU time on waking up for each heartbeat.
func TestArrivingHeartbeatsDoNotWakeTheProcess(t *testing.T) {
	loopback := netip.MustParseAddr("127.0.0.1")
	s, err := listen(netip.AddrPortFrom(loopback, 0))
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	if polled(t, s.fd) {
		t.Error("the network poller waits for heartbeats")
	}
	control, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	raw, err := control.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Control(func(fd uintptr) {
		if !polled(t, int(fd)) {
			t.Error("the check does not find a polled socket")
		}
	}); err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.receive(make([]byte, 1)); !errors.Is(err, unix.EAGAIN) {
		t.Errorf("an empty socket: %v", err)
	}
	if err := s.close(); err != nil {
		t.Fatal(err)
	}
	if err := s.send([]byte("x"), loopback); !errors.Is(err, net.ErrClosed) {
		t.Errorf("a closed socket: %v", err)
	}
}
