package settings

// fixedLimits is the part of docs/SETTINGS.md about limits that follow from settings and
// can't be set apart.
const fixedLimits = `
## Limits of client connections

They follow from other settings, and no client within the documented limits reaches them.
On a prepared platform these are ` + "`memory-mb` and `max-fds`" + ` of the settings file; on the own
interface ` + "`request_memory_bytes`" + ` and the process's limit of open files.

| limit | default | beyond it |
| --- | --- | --- |
| memory of connections, requests and responses | 0.84 of ` + "`memory-mb`" + `, and at least 24 MiB less than it; ` + "`request_memory_bytes`" + ` | 503 with ` + "`Retry-After`" + `, or a reset |
| memory of the Go runtime | 0.9 of ` + "`memory-mb`, or of `request_memory_bytes`" + ` and 128 MiB; less what the kernel may hold for connections | garbage is collected more often |
| open client connections | 0.5 of the descriptors; 0.05 for each other listener | reset; from 15/16 of it on, the connection that has been without a request for longest is closed |
| memory of client connections | 40 KiB each, together half of the memory above | the same |
| memory of connections to other listeners, and of their heads | an eighth, of which 1.5 in 100 can't be used otherwise | the same |
| connections and calls from other routers | 0.1 of the descriptors; 64 KiB for each connection and 16 KiB for each call of the memory for other listeners; heads of 8 KiB | a new connection is closed, or on a prepared platform the one that has been open for longest; a call is refused |
| the same on a prepared platform | 8 calls at a time, requests of 4 KiB, and responses that were not read yet in the same memory | the call waits or is refused |
| memory of orders that other routers forward | that of requests at their home router too | refused as not run |
| memory of large heads, also of HTTP/2 requests | 3 bytes a byte and 256 a line beyond 8 KiB, together a quarter | 503 with ` + "`Retry-After`" + ` |
| kernel buffers of a connection | 8 KiB in each direction (the kernel doubles it); 64 KiB for a request body above 8 KiB and 32 KiB for such a response, together an eighth | the connection keeps its small buffers |
| request body | its request's deadline, of any length; 30 s on the own interface | 503; 400 on the own interface |
| rest of a refused body | 4 MiB within 0.5 s | the connection is closed |
| response that a client doesn't acknowledge after the close | 10 s | dropped |
| unread bodies of an HTTP/2 connection | 64 KiB | flow control |

What routers of a prepared platform remember of requests is limited as well:

| limit | default | beyond it |
| --- | --- | --- |
| parts of a prompt | the first 255 and the request's own; only those of 16 tokens or more are tracked | the request is served; the rest counts as not cached |
| memory of tracked parts | a sixteenth of the memory above, at 48 bytes a part; each endpoint has an equal share, at most 8,192 parts | the least recently used are forgotten, and may be read again |
| tokens that a request states | 2^30 | counted as 2^30 |
| tokens of a prompt | the memory that its service's engines state | 400, without being sent |
| text in a log line, list in a log line | 512 bytes, 16 entries | the rest is cut off |
| placements in a heartbeat | 24 KiB | they wait for the next ones, 256 KiB of them at most |
| heartbeat | 65,507 bytes | what peers estimate or fetch by themselves is left out |
`
