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

	"peridotstack/peridotanswer"
	"peridotstack/peridotverdict"
)

const (
	// OrderReadTimeout is a timeout of the platform: the platform drops an order whose
	// body has not arrived within this time after the header.
	OrderReadTimeout = 5 * time.Second
	// MaxListLag is the maximum time after an order until the instance list shows its
	// effect.
	MaxListLag = 10 * time.Second
	// orderAnswerTimeout is the maximum time to wait for the answer to an order.
	orderAnswerTimeout = 10 * time.Second
)

// OrderKind determines what an order does.
type OrderKind string

const (
	// AddBackend adds a backend server.
	AddBackend OrderKind = "Add"
	// RemoveBackend removes a backend server.
	RemoveBackend OrderKind = "Remove"
)

// BackendOrder is an order to add or remove a backend server.
type BackendOrder struct {
	// ID is unique among all orders. The instance that the order adds is listed with
	// this ID as its OrderID.
	ID     string
	Kind   OrderKind
	Domain string
	// Model and Version, or Service, name what an added backend server is for.
	Model   string
	Version string
	Service string
	// Instance is the ID of the instance to remove.
	Instance string
	// Token is the fencing token of the sender. The platform logs it but does not
	// check it.
	Token int64
}

// OrderSender sends orders to the platform's order interface. The connection must
// end at the platform itself: if a proxy answers "100 Continue" on its own, the
// platform's timeout no longer limits the age of an order.
type OrderSender struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)
}

// NewOrderSender returns a sender to the order interface at an IP address and port.
func NewOrderSender(address string) *OrderSender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &OrderSender{Dial: func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
}

// Send sends an order in two parts: first the header, then, once the platform has
// answered "100 Continue" and authorize has returned nil, the body. If the sender is
// paused in between, the body is late and the platform drops the order. An error
// has the verdict NotRun if no byte of the body was sent. Send returns an error
// once ctx is done.
func (s *OrderSender) Send(ctx context.Context, o BackendOrder, authorize func(context.Context) error) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Wrap(err, "encode order")
	}
	dialed, err := s.Dial(ctx)
	if err != nil {
		return notSentError("the platform is out of reach", err)
	}
	conn := peridotanswer.NewConn(dialed)
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(OrderReadTimeout + orderAnswerTimeout)); err != nil {
		return notSentError("the connection failed", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	answers := bufio.NewReader(conn)
	if err := sendHeader(conn, answers, len(body)); err != nil {
		return err
	}
	if err := authorize(ctx); err != nil {
		return notSentError("the order was not authorized", err)
	}
	if _, err := conn.Write(body); err != nil {
		return unavailableError(err)
	}
	return readOrderAnswer(answers)
}

// sendHeader sends the header and waits until the platform asks for the body, which
// is length bytes long.
func sendHeader(conn net.Conn, answers *bufio.Reader, length int) error {
	header := fmt.Sprintf("POST /orders HTTP/1.1\r\nHost: platform\r\nContent-Type: application/json\r\nContent-Length: %d\r\nExpect: 100-continue\r\nConnection: close\r\n\r\n", length)
	if _, err := io.WriteString(conn, header); err != nil {
		return notSentError("the connection failed", err)
	}
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return notSentError("the platform did not answer", err)
	}
	if response.StatusCode != http.StatusContinue {
		return notSentError("the platform answered "+response.Status, nil)
	}
	return nil
}

func readOrderAnswer(answers *bufio.Reader) error {
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return unavailableError(err)
	}
	defer response.Body.Close()
	return decodeAnswer(response, nil)
}

// notSentError returns an error for an order whose body was not sent. It has the
// code of cause, or StoreUnavailable if cause has none.
func notSentError(message string, cause error) error {
	if e := peridotverdict.As(cause); e != nil && e.Code != peridotverdict.Internal {
		return peridotverdict.New(e.Code, peridotverdict.NotRun, message, peridotverdict.Cause(cause))
	}
	return peridotverdict.New(peridotverdict.StoreUnavailable, peridotverdict.NotRun, message, peridotverdict.Cause(cause))
}
