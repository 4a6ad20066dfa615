package settings

import (
	"fmt"
	"strings"
)

// edgeSetting is a setting or a limit of the router on a prepared platform. The platform
// writes its settings file, which package platform reads.
type edgeSetting struct{ name, what, value string }

// edgeSettings lists the settings that switch parts of that router on, and their limits.
var edgeSettings = []edgeSetting{
	{"contracts: rollout", "Routers follow the orders to bring in versions of services", "off"},
	{"bounds.exposure-share", "Share of a service's requests that a version gets at most until it is trusted", "0"},
	{"bounds.exposure-slack", "Requests beyond that share, over all routers; 0.9 of them is divided evenly, the rest is a reserve", "0"},
	{"bounds.rollback-ms", "Milliseconds after the 50th bad response within which a bad version must get its last request. A verdict takes effect as soon as it is known, so nothing is derived from it", "0"},
	{"limit: a version without an order", "How long a version that appears beside others gets no requests, since an order may be on its way", "1.5 s"},
}

func writeEdgeSettings(b *strings.Builder) {
	b.WriteString("\n## The router on a prepared platform\n\n")
	b.WriteString("`cyclamenwinchd edge` reads the platform's settings file. These switch parts of it on:\n\n")
	b.WriteString("| setting | what it is | default |\n| --- | --- | --- |\n")
	for _, s := range edgeSettings {
		fmt.Fprintf(b, "| `%s` | %s. | %s |\n", s.name, s.what, s.value)
	}
}
