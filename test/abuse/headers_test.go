package abuse_test

import (
	"net"
	"strings"
	"testing"
)

// shortLines is how many of the shortest header lines fit into a head of legal size.
const shortLines = 3900

// Guards against memory that is taken for each header line of heads that never end.
func TestManyShortHeaderLinesThatStopShort(t *testing.T) {
	h := startHost(t, smallest())
	lines := strings.Repeat("a:\r\n", shortLines)
	gather(t, h.front(), 1000, func(c net.Conn, client int) error { return send(c, head(client, lines)) })
	h.checkBears()
}

// Guards against memory that open connections keep from heads of many lines.
func TestManyShortHeaderLinesOnConnectionsThatStayOpen(t *testing.T) {
	h := startHost(t, smallest())
	text := "GET " + prefix + " HTTP/1.1\r\nHost: " + hostName + "\r\n" + strings.Repeat("a:\r\n", shortLines) + "\r\n"
	gather(t, h.front(), 1000, func(c net.Conn, _ int) error { return send(c, text) })
	h.checkBears()
}

// Guards against memory that is taken for odd header lines: folded ones, lists of trailers, and heads
// that follow a request without waiting for its answer.
func TestOddHeaderLines(t *testing.T) {
	h := startHost(t, smallest())
	get := "GET " + prefix + " HTTP/1.1\r\nHost: " + hostName + "\r\n"
	texts := []string{
		get + strings.Repeat("a:\r\n b\r\n", shortLines/2),
		get + "Trailer: a" + strings.Repeat(",a", shortLines*2) + "\r\n\r\n",
		get + "\r\n" + get + strings.Repeat("a:\r\n", shortLines),
		"\r\n\r\n" + get + strings.Repeat("a:\r\n", shortLines),
	}
	gather(t, h.front(), 1000, func(c net.Conn, client int) error { return send(c, texts[client%len(texts)]) })
	h.checkBears()
}
