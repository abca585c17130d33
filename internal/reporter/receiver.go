package reporter

import (
	"context"
	"net/http"

	"github.com/coder/websocket"

	"github.com/shallotrouter/shallotrouter"
	"github.com/shallotrouter/shallotrouter/internal/declarer"
	"github.com/shallotrouter/shallotrouter/internal/scheduler"
)

// ServeHTTP accepts a connection from a peer and passes the received messages to the
// sink until the connection ends. It answers a host without the key with status 401.
func (r *Reporter) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if !IsPeerToken(r.Secret, request.Header.Get("Authorization")) {
		http.Error(w, "the peer key is wrong; set the same key on all hosts", http.StatusUnauthorized)
		return
	}
	w.Header().Set(headerZone, r.Self.Zone)
	socket, err := websocket.Accept(w, request, nil)
	if err != nil {
		return
	}
	defer socket.CloseNow()
	socket.SetReadLimit(maxMessageBytes)
	v := &receiver{reporter: r, socket: socket}
	err = v.receive(request.Context())
	if v.unpacker.Report.Host != "" {
		r.handleDisconnected(v.unpacker.Report.Address)
	}
	r.Log.V(1).Info("connection from peer closed", "peer", v.unpacker.Report.Host, "error", errorText(err))
}

// receiver reads the messages on a connection from one peer.
type receiver struct {
	reporter *Reporter
	socket   *websocket.Conn
	unpacker DeltaDecoder
}

// receive handles messages until the connection ends or a message is invalid.
func (v *receiver) receive(ctx context.Context) error {
	for {
		_, data, err := v.socket.Read(ctx)
		if err != nil {
			return err
		}
		m, err := Decode(data)
		if err != nil {
			return err
		}
		if err := v.handleMessage(m); err != nil {
			return err
		}
	}
}

// handleMessage passes the content of one message to the sink.
func (v *receiver) handleMessage(m Message) error {
	r := v.reporter
	switch {
	case m.Hello != nil && v.unpacker.Report.Host == "":
		h := m.Hello
		r.handleConnected(h.Address)
		v.unpacker.Report = scheduler.Report{Host: h.Host, Zone: h.Zone, Address: h.Address, Incarnation: h.Incarnation}
	case m.Hello != nil || v.unpacker.Report.Host == "":
		return shallotrouter.Errorf(shallotrouter.Malformed, "peer did not send exactly one hello as its first message; run the same version on all hosts")
	case m.Delta != nil:
		if err := v.unpacker.Decode(*m.Delta); err != nil {
			return err
		}
		report := v.unpacker.Report
		r.handleVersions(report.Address, peerVersions{report.Config, report.Directory})
		r.Sink.Put(scheduler.ReportReceived{Report: report})
	case m.Row != nil:
		config, err := declarer.Decode(m.Row.Version, m.Row.Value)
		if err != nil {
			return err
		}
		r.Sink.Put(scheduler.Adopt{Config: config})
	case m.Directory != nil:
		r.Sink.Put(scheduler.Locate{Directory: *m.Directory})
	}
	return nil
}
