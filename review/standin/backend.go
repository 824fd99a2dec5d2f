package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slotsPerBackend  = 2
	queuePerBackend  = 16
	maxConnections   = 21
	handshakeTime    = 12 * time.Millisecond
	statementTime    = 4 * time.Millisecond
	promoteTime      = 300 * time.Millisecond
	entryLife        = 3600 * time.Millisecond
	connectionLinger = 3 * time.Second
)

// position is a position in the log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(other position) bool {
	return p.term < other.term || (p.term == other.term && p.number < other.number)
}

// commit is one entry of a log, with the ids and the texts of the statements that wrote.
type commit struct {
	at     position
	writes []write
}

type write struct{ id, item, data string }

// service is a primary and its replicas.
type service struct {
	name     string
	sync     int
	store    *store
	record   *record
	mu       sync.Mutex
	backends []*backend
	term     uint64
	fence    uint64
	// promoted is called with the backend that takes over, before it does.
	promoted func(b *backend)
	// ranRead is called with the id of each read that runs.
	ranRead func(id string)
}

// backend is one backend of a service. The lock of the service guards its state.
type backend struct {
	service       *service
	id, zone      string
	address       string
	listener      net.Listener
	slots         chan struct{}
	waiting       int
	born          int64
	sequence      int
	primary       bool
	term          uint64
	held          uint64
	log           []commit
	lag           time.Duration
	deaf          bool
	down          bool
	draining      bool
	hidden        bool
	conns         map[net.Conn]bool
	receivedEvent chan struct{}
}

func newService(name string, sync int, s *store, r *record, lags map[string]time.Duration, zones []string) (*service, error) {
	v := &service{name: name, sync: sync, store: s, record: r, term: 1}
	for i, zone := range zones {
		b := &backend{
			service: v, id: fmt.Sprintf("i-%s-%d", name, i), zone: zone, slots: make(chan struct{}, slotsPerBackend), primary: i == 0, term: 1,
			born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, receivedEvent: make(chan struct{}),
		}
		b.lag = lags[zone]
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		b.address, b.listener = listener.Addr().String(), listener
		v.backends = append(v.backends, b)
		go b.serve(listener)
	}
	v.publish()
	return v, nil
}

// publish writes the entries of the backends that have changed.
func (v *service) publish() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.publishLocked()
}

func (v *service) publishLocked() {
	for _, b := range v.backends {
		if b.down || b.hidden {
			continue
		}
		role, state := "replica", "ready"
		if b.primary {
			role = "primary"
		}
		if b.draining {
			state = "draining"
		}
		b.sequence++
		value, _ := json.Marshal(map[string]any{
			"service": v.name, "address": b.address, "zone": b.zone, "version": "v1", "slots": slotsPerBackend, "state": state,
			"cold_remaining_ms": 0, "db_role": role, "sequence": b.sequence, "born": b.born,
		})
		v.store.set("servers/"+b.id, value)
	}
}

// crash ends a backend: it answers nothing, and its entry expires.
func (b *backend) crash() {
	b.service.mu.Lock()
	b.down = true
	_ = b.listener.Close()
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.service.mu.Unlock()
	time.AfterFunc(entryLife, func() {
		b.service.mu.Lock()
		defer b.service.mu.Unlock()
		if b.down {
			b.service.store.drop("servers/" + b.id)
		}
	})
}

// end returns the last position that the backend has received. The caller holds the lock.
func (b *backend) end() position {
	if len(b.log) == 0 {
		return position{1, 0}
	}
	return b.log[len(b.log)-1].at
}

// holds reports whether the log has the write with the id. The caller holds the lock.
func (b *backend) holds(id string) bool {
	for _, c := range b.log {
		for _, w := range c.writes {
			if w.id == id {
				return true
			}
		}
	}
	return false
}

// append commits writes at a primary and sends them to the replicas. The caller holds the lock.
func (b *backend) append(writes []write) position {
	at := position{b.term, b.end().number + 1}
	b.log = append(b.log, commit{at, writes})
	n, term := len(b.log), b.term
	for _, other := range b.service.backends {
		if other != b {
			time.AfterFunc(other.lag, func() { b.deliver(other, n, term) })
		}
	}
	return at
}

// deliver gives a replica the log up to the n-th commit.
func (b *backend) deliver(to *backend, n int, term uint64) {
	v := b.service
	v.mu.Lock()
	defer v.mu.Unlock()
	if b.down || b.term != term || !b.primary || to.down || to.deaf || to.held != 0 || to.term != term || to.primary || len(to.log) >= n {
		return
	}
	to.log = append([]commit{}, b.log[:n]...)
	close(b.receivedEvent)
	b.receivedEvent = make(chan struct{})
}

// setDeaf makes a replica receive nothing, or receive again what it lacks.
func (b *backend) setDeaf(deaf bool) {
	b.service.mu.Lock()
	defer b.service.mu.Unlock()
	b.deaf = deaf
	for _, p := range b.service.backends {
		if !deaf && p.primary && !p.down && p != b && p.term == b.term {
			b.log = append([]commit{}, p.log...)
		}
	}
}

// acknowledged waits until enough replicas have received the position. It returns false if the
// backend goes down or loses the lead before.
func (b *backend) acknowledged(at position) bool {
	v := b.service
	for {
		v.mu.Lock()
		copies := 0
		for _, other := range v.backends {
			if other != b && !other.down && other.term == at.term && !other.end().less(at) {
				copies++
			}
		}
		lead, event := b.primary && !b.down && b.term == at.term, b.receivedEvent
		v.mu.Unlock()
		if !lead {
			return false
		}
		if copies >= v.sync {
			return true
		}
		select {
		case <-event:
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// promote makes a backend lead the next term with what it has received.
func (v *service) promote(id string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var chosen *backend
	for _, b := range v.backends {
		if b.id == id {
			chosen = b
		}
	}
	if chosen == nil || chosen.down || chosen.primary {
		return
	}
	if v.promoted != nil {
		v.promoted(chosen)
	}
	v.term++
	for _, b := range v.backends {
		if b.down {
			b.primary = false
			continue
		}
		b.primary, b.term, b.held, b.deaf = b == chosen, v.term, 0, false
		if b != chosen && len(chosen.log) < len(b.log) {
			b.log = append([]commit{}, chosen.log...)
		}
	}
	v.publishLocked()
}

// cloud serves the calls that have backends promoted.
func (v *service) cloud() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promote", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		fence, _ := strconv.ParseUint(r.Header.Get("Fencing-Token"), 10, 64)
		v.mu.Lock()
		defer v.mu.Unlock()
		status := 409
		for _, b := range v.backends {
			if b.id == body.ID && !b.down && fence >= v.fence {
				status = 200
				v.fence = fence
				if !b.primary {
					time.AfterFunc(promoteTime, func() { v.promote(body.ID) })
				}
			}
		}
		v.record.add("platform: promote %s by %s with fence %d: %d", body.ID, r.Header.Get("Lease-Holder"), fence, status)
		reply(w, status, map[string]any{})
	})
	return mux
}

func (b *backend) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.session(conn)
	}
}

// occupy takes a slot. It returns false if too many wait.
func (b *backend) occupy() bool {
	b.service.mu.Lock()
	b.waiting++
	full := b.waiting > queuePerBackend
	if full {
		b.waiting--
	}
	b.service.mu.Unlock()
	if full {
		return false
	}
	b.slots <- struct{}{}
	b.service.mu.Lock()
	b.waiting--
	b.service.mu.Unlock()
	return true
}

// backendSession is the state of one connection to a backend.
type backendSession struct {
	b        *backend
	out      *bufio.Writer
	state    string
	readOnly bool
	began    uint64
	writes   []write
	prepared map[string]string
}

func (b *backend) session(conn net.Conn) {
	b.service.mu.Lock()
	b.conns[conn] = true
	over := len(b.conns) > maxConnections
	b.service.mu.Unlock()
	defer func() {
		_ = conn.Close()
		b.service.mu.Lock()
		delete(b.conns, conn)
		b.service.mu.Unlock()
	}()
	s := &backendSession{b: b, out: bufio.NewWriter(conn), state: "I", prepared: map[string]string{}}
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	fields := strings.Fields(line)
	if err != nil || len(fields) < 3 || fields[0] != "CONNECT" {
		return
	}
	switch {
	case fields[1] != b.service.name || (len(fields) > 3 && fields[3] != b.id):
		fmt.Fprint(conn, "ERROR MOVED -\r\n")
		return
	case over:
		fmt.Fprint(conn, "ERROR CONNLIMIT -\r\n")
		return
	}
	b.slots <- struct{}{}
	time.Sleep(handshakeTime)
	<-b.slots
	s.ready()
	for s.out.Flush() == nil {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.query(id, text) {
			return
		}
	}
}

func (s *backendSession) ready() {
	s.b.service.mu.Lock()
	at := s.b.end()
	s.b.service.mu.Unlock()
	fmt.Fprintf(s.out, "READY %s %s\r\n", s.state, at)
}

func (s *backendSession) fail(code string) {
	if s.state == "T" {
		s.state = "E"
	}
	fmt.Fprintf(s.out, "ERROR %s %s\r\n", code, s.b.id)
	s.ready()
}

func (s *backendSession) done(rows ...string) {
	for _, row := range rows {
		fmt.Fprintf(s.out, "ROW %s\r\n", row)
	}
	fmt.Fprint(s.out, "COMPLETE -\r\n")
	s.ready()
}

func (s *backendSession) leads() bool {
	s.b.service.mu.Lock()
	defer s.b.service.mu.Unlock()
	return s.b.primary && !s.b.down
}

// query runs one statement. It returns false if the connection is to end.
func (s *backendSession) query(id, text string) bool {
	b, v := s.b, s.b.service
	var after position
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		text = statement
		_, _ = fmt.Sscanf(at, "%d.%d", &after.term, &after.number)
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "ROLLBACK" && word != "COMMIT" {
		s.fail("MALFORMED")
		return true
	}
	if word == "EXECUTE" {
		name, argument, _ := strings.Cut(rest, " ")
		kind, ok := s.prepared[name]
		if !ok {
			s.fail("NOSTMT")
			return true
		}
		word, rest = kind, argument
	}
	v.mu.Lock()
	lacks := b.end().less(after)
	v.mu.Unlock()
	if lacks {
		s.fail("LAGGING")
		return true
	}
	switch word {
	case "BEGIN":
		s.readOnly = rest == "READ"
		if !s.readOnly && !s.leads() {
			s.fail("READONLY")
			return true
		}
		v.mu.Lock()
		s.began = b.term
		v.mu.Unlock()
		s.state, s.writes = "T", nil
		s.done()
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		s.done()
	case "SET", "DEALLOC":
		s.done()
	case "RESET":
		s.prepared = map[string]string{}
		s.done()
	case "PREPARE":
		f := strings.SplitN(rest, " ", 3)
		s.prepared[f[0]] = f[1]
		s.done()
	case "READ":
		return s.read(id, rest)
	case "WRITE":
		return s.write(id, rest)
	case "COMMIT":
		return s.commit(id)
	default:
		s.control(word, rest)
	}
	return true
}

func (s *backendSession) read(id, key string) bool {
	b, v := s.b, s.b.service
	if s.state == "T" && !s.readOnly && !s.leads() {
		s.fail("READONLY")
		return true
	}
	if !b.occupy() {
		s.fail("BUSY")
		return true
	}
	time.Sleep(statementTime)
	<-b.slots
	v.mu.Lock()
	row, at := "-", b.end()
	for _, c := range b.log {
		for _, w := range c.writes {
			if w.item == key {
				row = w.data
			}
		}
	}
	down, ranRead := b.down, v.ranRead
	v.mu.Unlock()
	if down {
		return false
	}
	if ranRead != nil {
		ranRead(id)
	}
	v.record.add("%s: runs read %s of %s with its log at %s", b.id, id, key, at)
	fmt.Fprintf(s.out, "ROW %s\r\nCOMPLETE d.%s.%s\r\n", row, id, at)
	s.ready()
	return true
}

func (s *backendSession) write(id, rest string) bool {
	b, v := s.b, s.b.service
	key, data, _ := strings.Cut(rest, " ")
	if !s.leads() || s.readOnly && s.state == "T" {
		s.fail("READONLY")
		return true
	}
	if !b.occupy() {
		s.fail("BUSY")
		return true
	}
	time.Sleep(statementTime)
	<-b.slots
	if s.state == "T" {
		s.writes = append(s.writes, write{id, key, data})
		v.record.add("%s: runs write %s in a transaction", b.id, id)
		fmt.Fprintf(s.out, "COMPLETE d.%s\r\n", id)
		s.ready()
		return true
	}
	return s.finish(id, []write{{id, key, data}})
}

func (s *backendSession) commit(id string) bool {
	if s.state == "E" {
		s.state, s.writes = "I", nil
		s.fail("ABORTED")
		return true
	}
	writes := s.writes
	s.state, s.writes = "I", nil
	if len(writes) == 0 {
		fmt.Fprintf(s.out, "COMPLETE d.%s\r\n", id)
		s.ready()
		return true
	}
	if !s.leads() {
		s.fail("READONLY")
		return true
	}
	if !s.b.occupy() {
		s.fail("BUSY")
		return true
	}
	time.Sleep(statementTime)
	<-s.b.slots
	return s.finish(id, writes)
}

// finish commits writes and answers once enough replicas have received them.
func (s *backendSession) finish(id string, writes []write) bool {
	b, v := s.b, s.b.service
	v.mu.Lock()
	if b.down {
		v.mu.Unlock()
		return false
	}
	if !b.primary {
		v.mu.Unlock()
		s.fail("READONLY")
		return true
	}
	at := b.append(writes)
	v.mu.Unlock()
	v.record.add("%s: commits %s at %s", b.id, id, at)
	if !b.acknowledged(at) {
		return false
	}
	fmt.Fprintf(s.out, "COMPLETE d.%s.%s\r\n", id, at)
	s.ready()
	return true
}

// control runs the commands of the system itself.
func (s *backendSession) control(word, rest string) {
	b, v := s.b, s.b.service
	term, _ := strconv.ParseUint(rest, 10, 64)
	v.mu.Lock()
	switch {
	case word == "PAUSE" && term > b.term && !b.primary:
		b.held = term
	case word == "RESUME":
		b.held = 0
		for _, p := range v.backends {
			if p.primary && !p.down && p.term == b.term && p != b && !b.deaf {
				b.log = append([]commit{}, p.log...)
			}
		}
	case word == "STEPDOWN" && b.primary && b.term < term:
		b.primary = false
		v.publishLocked()
	}
	role := "replica"
	if b.primary {
		role = "primary"
	}
	row := fmt.Sprintf("%s %d %s %d %d %d %d", role, b.term, b.end(), b.held, b.lag.Milliseconds(), len(b.slots), len(b.conns))
	v.mu.Unlock()
	v.record.add("%s: %s %s: %s", b.id, word, rest, row)
	s.done(row)
}
