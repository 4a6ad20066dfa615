package limitio_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenwinch/cyclamenwinch/internal/limitio"
)

func TestReaderDistinguishesLimitFromEnd(t *testing.T) {
	for _, c := range []struct {
		limit int
		want  string
		err   error
	}{
		{4, "four", nil},
		{5, "four", nil},
		{3, "fou", limitio.ErrTooLarge},
		{0, "", limitio.ErrTooLarge},
	} {
		got, err := io.ReadAll(&limitio.Reader{R: strings.NewReader("four"), Remaining: c.limit})
		if string(got) != c.want || !errors.Is(err, c.err) || (c.err == nil) != (err == nil) {
			t.Errorf("limit %d: read %q, %v; want %q, %v", c.limit, got, err, c.want, c.err)
		}
	}
}
