package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcwire"
)

// What the clients of a crowd send.
const (
	// longHead is a head below the default limit of net/http and far above that
	// of the operator.
	longHead   = 1_000_000
	pieceSize  = 16 << 10
	smallChunk = 8
	largeChunk = 64 << 10
	// stalledMessageSize is that of a message to a peer which never ends.
	stalledMessageSize = 2 << 20
	// endless bounds what is sent without an end.
	endless = 4 << 20
	// maxDials is how often a client connects again after it was disconnected.
	maxDials = 3
	// slowPause is the time between two bytes of a slow client.
	slowPause = 20 * time.Millisecond
)

// sender writes what one hostile client sends.
type sender func(w io.Writer) error

// crowdTarget is the port that a crowd connects to and a valid request there.
type crowdTarget struct {
	address netip.AddrPort
	// request is the first line of a submission and its header fields, without
	// those about its body.
	request string
	host    string
	// body is the size of the largest legal body.
	body int
}

// senders returns what each kind of client sends.
func (t crowdTarget) senders() map[string]sender {
	post := func(fields string) string { return t.request + fields + "\r\n" }
	get := strings.Replace(post(""), "POST", "GET", 1)
	sized := post(fmt.Sprintf("Content-Length: %d\r\n", t.body))
	chunked := post("Transfer-Encoding: chunked\r\n")
	body := largestBody(t.body)
	almost := body[:t.body-1]
	field := "X-Long: " + strings.Repeat("x", 1000) + "\r\n"
	firstLine := "GET / HTTP/1.1\r\nHost: " + t.host + "\r\n"
	return map[string]sender{
		"large_heads":         sendAll(firstLine, strings.Repeat(field, longHead/len(field)), "\r\n"),
		"endless_heads":       sendAll(firstLine, strings.Repeat(field, longHead/len(field))),
		"endless_field":       sendAll(firstLine+"X-Long: ", strings.Repeat("x", longHead)),
		"slow_heads":          sendSlowly(firstLine + strings.Repeat(field, 4)),
		"empty_lines":         sendAll(strings.Repeat("\r\n", endless/2)),
		"empty_lines_between": sendAll(post("Content-Length: 0\r\n"), strings.Repeat("\r\n", endless/2)),
		"whole_bodies":        sendAll(sized + body),
		"stalled_bodies":      sendAll(sized, almost),
		"slow_bodies":         sendSlowly(sized + body),
		"large_chunks":        sendAll(chunked, chunks(almost, largeChunk)),
		"small_chunks":        sendAll(chunked, chunks(almost, smallChunk)),
		"chunk_extensions":    sendAll(chunked, "1;", strings.Repeat("x", endless)),
		"trailers":            sendAll(chunked, chunks("{}", 1), "0\r\n", strings.Repeat(field, endless/len(field))),
		"unread_answers":      sendAll(strings.Repeat(get, 2000)),
		"stalled_messages":    sendAll(string(stalledMessage())),
		"silent":              sendAll(),
	}
}

// largestBody returns a submission of the size, which takes many
// times its size when it is decoded.
func largestBody(size int) string {
	const step = `{"count":0},`
	head, tail := `{"steps":[`, `{"count":0}]}`
	steps := (size - len(head) - len(tail)) / len(step)
	body := head + strings.Repeat(step, steps)
	return body + strings.Repeat(" ", size-len(body)-len(tail)) + tail
}

// chunks returns the text in chunks of the size, without the last, empty one.
func chunks(text string, size int) string {
	var b strings.Builder
	for piece := range slices.Chunk([]byte(text), size) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(piece), piece)
	}
	return b.String()
}

// stalledMessage returns a message to a peer without its last frame.
func stalledMessage() []byte {
	var message []byte
	for range stalledMessageSize / pieceSize {
		message = drpcwire.AppendFrame(message, drpcwire.Frame{
			Data: make([]byte, pieceSize), ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindInvoke,
		})
	}
	return message
}

// sendAll sends the texts in pieces.
func sendAll(texts ...string) sender {
	data := []byte(strings.Join(texts, ""))
	return func(w io.Writer) error {
		for piece := range slices.Chunk(data, pieceSize) {
			if _, err := w.Write(piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// sendSlowly sends the text byte by byte.
func sendSlowly(text string) sender {
	return func(w io.Writer) error {
		for _, b := range []byte(text) {
			if _, err := w.Write([]byte{b}); err != nil {
				return err
			}
			time.Sleep(slowPause)
		}
		return nil
	}
}

// crowd holds the connections of the clients.
type crowd struct {
	address netip.AddrPort
	kinds   []sender

	mu    sync.Mutex
	conns []net.Conn
}

// newCrowd returns a crowd of the kind, or one of all kinds.
func newCrowd(kind string, target crowdTarget) (*crowd, error) {
	all := target.senders()
	c := &crowd{address: target.address}
	if kind != "mixed" {
		if all[kind] == nil {
			return nil, eris.Errorf("unknown kind of clients: %s", kind)
		}
		c.kinds = []sender{all[kind]}
		return c, nil
	}
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.kinds = append(c.kinds, all[name])
	}
	return c, nil
}

// play lets all clients connect and send, for a limited time. Their connections
// stay open.
func (c *crowd) play(clients int, limit time.Duration) {
	var tasks conc.WaitGroup
	deadline := time.Now().Add(limit)
	for i := range clients {
		tasks.Go(func() {
			for range maxDials {
				if c.connect(c.kinds[i%len(c.kinds)], deadline) || time.Now().After(deadline) {
					return
				}
			}
		})
	}
	tasks.Wait()
}

// connect connects and sends once. It reports whether all was sent.
func (c *crowd) connect(send sender, deadline time.Time) bool {
	conn, err := (&net.Dialer{Deadline: deadline}).DialContext(context.Background(), "tcp", c.address.String())
	if err != nil {
		return false
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	if err := conn.SetWriteDeadline(deadline); err != nil {
		return false
	}
	return send(conn) == nil
}

// close closes all connections.
func (c *crowd) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
