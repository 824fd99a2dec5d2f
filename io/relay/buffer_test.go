package relay

import (
	"bufio"
	"bytes"
	"net/rpc"
	"strings"
	"testing"
)

// memory is a connection whose other end is itself.
type memory struct{ bytes.Buffer }

func (*memory) Close() error { return nil }

// One statement of a mebibyte left buffers of that size at both ends of each connection between instances.
func TestLargeMessageLeavesNoLargeBuffer(t *testing.T) {
	conn := &memory{}
	c := newCodec(conn, bufio.NewReader(conn), formTagged)
	request := &RunRequest{}
	for _, size := range []int{1 << 20, 9 << 20, 1 << 10} {
		request.Order.Statement.Text = strings.Repeat("x", size)
		err := clientCodec{c}.WriteRequest(&rpc.Request{Seq: 1, ServiceMethod: "Peer.Run"}, request)
		if sent := err == nil; sent != (size < maxMessage) {
			t.Fatalf("request of %d bytes: %v", size, err)
		} else if !sent {
			continue
		}
		var received RunRequest
		if err := (serverCodec{c}).ReadRequestHeader(&rpc.Request{}); err != nil {
			t.Fatal(err)
		}
		if err := (serverCodec{c}).ReadRequestBody(&received); err != nil || received.Order.Statement.Text != request.Order.Statement.Text {
			t.Fatalf("received %d bytes of %d: %v", len(received.Order.Statement.Text), size, err)
		}
		if cap(c.buf) > maxKeptBuffer || cap(c.out.buf) > maxKeptBuffer || cap(c.body.buf) > maxKeptBuffer {
			t.Fatalf("buffers of %d, %d and %d bytes are kept", cap(c.buf), cap(c.out.buf), cap(c.body.buf))
		}
	}
}
