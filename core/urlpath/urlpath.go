// Package urlpath compares the paths of requests with those that a configuration
// declares.
package urlpath

import "strings"

// Normalize returns the path of a request as it is compared with declared ones: with
// percent-encoded letters, digits and "-._~" decoded, as RFC 3986 (6.2.2) has it, and
// everything else as the client sent it. An encoded slash begins no segment.
func Normalize(path string) string {
	if !strings.Contains(path, "%") {
		return path
	}
	var b strings.Builder
	for i := 0; i < len(path); i++ {
		c, ok := unescape(path[i:])
		switch {
		case ok && isUnreserved(c):
			b.WriteByte(c)
			i += 2
		case ok:
			b.WriteString(strings.ToUpper(path[i : i+3]))
			i += 2
		default:
			b.WriteByte(path[i])
		}
	}
	return b.String()
}

// Declared returns a path from a configuration as Normalize returns those of requests.
// It may have letters that requests can have in percent-encoding only.
func Declared(path string) string {
	const hex = "0123456789ABCDEF"
	var b strings.Builder
	for i := range len(path) {
		if c := path[i]; c <= ' ' || c >= 0x7f {
			b.WriteString(string([]byte{'%', hex[c>>4], hex[c&15]}))
		} else {
			b.WriteByte(c)
		}
	}
	return Normalize(b.String())
}

// unescape returns the byte that s begins with in percent-encoding.
func unescape(s string) (byte, bool) {
	if len(s) < 3 || s[0] != '%' {
		return 0, false
	}
	high, ok1 := hexDigit(s[1])
	low, ok2 := hexDigit(s[2])
	return high<<4 | low, ok1 && ok2
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func isUnreserved(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.IndexByte("-._~", c) >= 0
}
