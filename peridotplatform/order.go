package peridotplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"peridotstack/peridotverdict"
)

const (
	// OrderReadTimeout is the platform's: it drops an order whose body has not
	// arrived within this time from the head.
	OrderReadTimeout = 5 * time.Second
	// ListLag bounds how long after an order its instance shows in the list.
	ListLag = 10 * time.Second
	// orderAnswerTimeout bounds the wait for the answer to an order.
	orderAnswerTimeout = 10 * time.Second
)

// OrderKind names an order for a backend server.
type OrderKind string

const (
	// AddBackend asks for one more backend server.
	AddBackend OrderKind = "Add"
	// RemoveBackend gives one back.
	RemoveBackend OrderKind = "Remove"
)

// BackendOrder is one order for a backend server.
type BackendOrder struct {
	// ID is unique; the instance that the order brings carries it.
	ID     string
	Kind   OrderKind
	Domain string
	// Model and Version, or Service, say what an added backend server is for.
	Model   string
	Version string
	Service string
	// Instance names the one to remove.
	Instance string
	// Token is the sender's fencing token. The platform logs it and checks
	// nothing.
	Token int64
}

// Orders sends orders to the platform's interface for backend servers. The
// connection must reach the interface itself: whoever else answers with
// "100 Continue" voids the bound on the age of an order.
type Orders struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)
}

// NewOrders returns the sender for the interface at an IP address and port.
func NewOrders(address string) *Orders {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Orders{Dial: func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
}

// Send sends an order in two parts: the head, and, once the platform waits for
// the body and authorize has returned nil, the body. A sender paused anywhere in
// between is late with the body, which the platform then drops. An error has the
// verdict NotRun if no byte of the body was sent. Send gives up once ctx is done.
func (s *Orders) Send(ctx context.Context, o BackendOrder, authorize func(context.Context) error) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	conn, err := s.Dial(ctx)
	if err != nil {
		return notSent("the platform is out of reach", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(OrderReadTimeout + orderAnswerTimeout)); err != nil {
		return notSent("the connection failed", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	answers := bufio.NewReader(conn)
	if err := sendHead(conn, answers, len(body)); err != nil {
		return err
	}
	if err := authorize(ctx); err != nil {
		return notSent("the order was not authorized", err)
	}
	if _, err := conn.Write(body); err != nil {
		return unavailable(err)
	}
	return readOrderAnswer(answers)
}

// sendHead sends the head and waits until the platform waits for the body.
func sendHead(conn net.Conn, answers *bufio.Reader, length int) error {
	head := fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: platform\r\nContent-Type: application/json\r\nContent-Length: %d\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n", length)
	if _, err := io.WriteString(conn, head); err != nil {
		return notSent("the connection failed", err)
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return notSent("the platform did not answer", err)
	}
	if response.StatusCode != http.StatusContinue {
		return notSent("the platform answered "+response.Status, nil)
	}
	return nil
}

func readOrderAnswer(answers *bufio.Reader) error {
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return unavailable(err)
	}
	defer response.Body.Close()
	return decode(response, nil)
}

func notSent(message string, cause error) error {
	if e := peridotverdict.As(cause); e != nil && e.Code != peridotverdict.Internal {
		return peridotverdict.New(e.Code, peridotverdict.NotRun, message, peridotverdict.Cause(cause))
	}
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, message, peridotverdict.Cause(cause))
}
