package urlpath_test

import (
	"net/url"
	"testing"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/urlpath"
)

// TestNormalizedPathStaysEquivalent guards against escapes that are decoded twice or
// lost.
func TestNormalizedPathStaysEquivalent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		path := rapid.StringMatching(`/(%[0-9a-fA-F]{2}|[a-zA-Z0-9._~%/-])*`).Draw(t, "path")
		normal := urlpath.Normalize(path)
		if again := urlpath.Normalize(normal); again != normal {
			t.Fatalf("%q becomes %q, then %q", path, normal, again)
		}
		before, err := url.PathUnescape(path)
		if err != nil {
			return // no valid path
		}
		if after, err := url.PathUnescape(normal); err != nil || after != before {
			t.Fatalf("%q becomes %q, which stands for %q instead of %q", path, normal, after, before)
		}
	})
}
