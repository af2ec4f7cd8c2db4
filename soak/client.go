package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// dialLimit is how long a client waits for a connection.
const dialLimit = time.Second

// Attempt is a client's record of one request.
type Attempt struct {
	Tag      string
	Work     Work
	Machine  string // the edge machine that it was sent to
	Manner   string // in which it was sent
	Nth      int    // on its connection, from 1
	Deadline time.Duration
	After    uint64   // of a stream that is taken up: the last event that the client has
	Behind   *Attempt // the request before it on the connection, whose answer it did not wait for

	Began, Sent, Ended time.Time // Sent: its last byte; zero: it was not sent whole
	Status             int       // 0: no answer
	ID, Stamp          string
	Body               string
	Complete           bool
	CanceledByClient   bool
	Closing            bool // the answer says that the connection will be closed
	Failure            string
}

// Connection is a client's connection to an edge machine.
type Connection struct {
	speech  Speech
	machine Machine
	conn    net.Conn
	in      *bufio.Reader
	sent    int
}

// Connect opens a connection.
func Connect(speech Speech, m Machine) (*Connection, error) {
	conn, err := net.DialTimeout("tcp", m.Front(), dialLimit)
	if err != nil {
		return nil, err
	}
	return &Connection{speech: speech, machine: m, conn: conn, in: bufio.NewReader(conn)}, nil
}

// Close closes the connection.
func (c *Connection) Close() { _ = c.conn.Close() } // one that is closed already is what is wanted

// NewAttempt begins the record of a request on the connection.
func (c *Connection) NewAttempt(tag, manner string, w Work, deadline time.Duration, after uint64) *Attempt {
	c.sent++
	return &Attempt{Tag: tag, Work: w, Machine: c.machine.Name, Manner: manner, Nth: c.sent, Deadline: deadline, After: after, Began: time.Now()}
}

// request is the text of a request's header.
func (c *Connection) request(a *Attempt, bodySize int) string {
	s := c.speech
	lines := []string{"POST " + a.Work.Path() + " HTTP/1.1", "Host: " + s.Host, s.TagHeader + ": " + a.Tag, "Content-Length: " + strconv.Itoa(bodySize)}
	if a.After > 0 {
		lines = append(lines, fmt.Sprintf("%s: %d", s.LastHeader, a.After))
	}
	lines = append(lines, s.Lines(a.Work.Kind, a.Deadline)...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// Send writes a request, in one write or in chunks with a pause between them.
func (c *Connection) Send(a *Attempt, body string, chunks int, gap time.Duration) error {
	text := c.request(a, len(body)) + body
	step := len(text)/max(1, chunks) + 1
	for len(text) > 0 {
		chunk := text[:min(step, len(text))]
		if text = text[len(chunk):]; len(text) == 0 {
			a.Sent = time.Now() // before the write: what is read before the answer was sent by then
		}
		if _, err := io.WriteString(c.conn, chunk); err != nil {
			a.Sent, a.Failure = time.Time{}, err.Error()
			return err
		}
		if len(text) > 0 {
			time.Sleep(gap)
		}
	}
	return nil
}

// Receive reads the answer to a request. It reports whether the connection may be used on.
func (c *Connection) Receive(a *Attempt, limit time.Time) (usable bool) {
	defer func() { a.Ended = time.Now() }()
	if err := c.conn.SetReadDeadline(limit); err != nil {
		a.Failure = err.Error()
		return false
	}
	answer, err := http.ReadResponse(c.in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.Failure = err.Error()
		return false
	}
	a.Status, a.ID, a.Stamp, a.Closing = answer.StatusCode, answer.Header.Get(c.speech.IDHeader), answer.Header.Get(c.speech.StampHeader), answer.Close
	body, err := io.ReadAll(answer.Body)
	a.Body, a.Complete = string(body), err == nil
	if err != nil {
		a.Failure = err.Error()
	}
	return a.Complete && !answer.Close
}

// IsServed reports whether the client has a replica's whole answer.
func (a *Attempt) IsServed() bool { return a.Complete && a.Status == http.StatusOK && a.Stamp != "" }
