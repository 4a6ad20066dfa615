package platform_test

import (
	"context"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cyclamenwinch/cyclamenwinch/internal/platform"
	"github.com/cyclamenwinch/cyclamenwinch/standin/endless"
)

var _ = Describe("a response of the platform without end", func() {
	filler := strings.Repeat("x", 16<<10)
	const head = "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	chunk := "4000\r\n" + filler + "\r\n"
	get := func(ctx context.Context, c *platform.Client) error {
		_, err := c.Get(ctx, "a")
		return err
	}
	list := func(ctx context.Context, c *platform.Client) error {
		_, err := c.List(ctx, "a")
		return err
	}
	put := func(ctx context.Context, c *platform.Client) error {
		_, err := c.Put(ctx, "a", nil, 0)
		return err
	}
	watch := func(ctx context.Context, c *platform.Client) error {
		return c.Watch(ctx, "a", 0, func(platform.Event) {})
	}

	DescribeTable("is given up at a size limit",
		func(call func(context.Context, *platform.Client) error, wantErr bool, start, repeat string) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			DeferCleanup(cancel)
			server, err := endless.Listen(start, repeat)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(server.Close)
			client := platform.New("http://" + server.Address())
			client.SetWatchIdleTimeout(time.Hour)
			err = call(ctx, client)
			Expect(err != nil).To(Equal(wantErr), "%v", err)
			Expect(ctx.Err()).NotTo(HaveOccurred())
			Eventually(ctx, server.Disconnected).Should(Receive())
			Expect(server.Sent()).To(BeNumerically("<", 256<<20), "the limit and what the sockets buffer")
		},
		Entry("in the head", get, true, head+"Filler: ", filler),
		Entry("in the head of a watch", watch, true, head+"Filler: ", filler),
		Entry("in an object", get, true, head+chunked, chunk),
		Entry("in an object with a length", get, true, head+"Content-Length: 1000000000000\r\n\r\n", filler),
		Entry("in a list", list, true, head+chunked, "4001\r\n\""+filler+"\r\n"),
		Entry("in an event of a watch", watch, true, head+chunked+"1\r\n\"\r\n", chunk),
		Entry("in an event of a watch that is not chunked", watch, true, head+"\r\n\"", filler),
		Entry("after the response to a write", put, false, head+chunked, chunk),
	)
})
