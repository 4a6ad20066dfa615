package forward

import (
	"encoding/binary"
	"net/netip"
)

// The header of PROXY protocol version 2 for TCP over IPv4, without extensions: signature,
// version and command, family, length of the rest, addresses and ports of the client and
// of where it has connected to. It is written here because the library's Format allocates
// for each part of it.
const (
	headerSignature = "\r\n\r\n\x00\r\nQUIT\n"
	headerProxyV2   = 0x21
	headerTCPv4     = 0x11
	headerAddresses = 12 // bytes
	headerBytes     = len(headerSignature) + 4 + headerAddresses
)

// putHeader writes the header to the first headerBytes of b. Both addresses are IPv4.
func putHeader(b []byte, from, via netip.AddrPort) {
	n := copy(b, headerSignature)
	b[n], b[n+1] = headerProxyV2, headerTCPv4
	binary.BigEndian.PutUint16(b[n+2:], headerAddresses)
	n += 4
	source, destination := from.Addr().As4(), via.Addr().As4()
	copy(b[n:], source[:])
	copy(b[n+4:], destination[:])
	binary.BigEndian.PutUint16(b[n+8:], from.Port())
	binary.BigEndian.PutUint16(b[n+10:], via.Port())
}
