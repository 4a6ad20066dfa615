package closing

import "syscall"

// HasUnread reports whether bytes wait in the socket of a connection.
func HasUnread(c syscall.Conn) bool { return hasUnread(c) }

// ReadRestWithin is ReadRest with another limit of time.
var ReadRestWithin = readRestWithin
