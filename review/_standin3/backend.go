package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// point is a position in a log, TERM.NUMBER.
type point struct{ term, number uint64 }

func (p point) less(q point) bool {
	return p.term < q.term || (p.term == q.term && p.number < q.number)
}

func (p point) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func parsePoint(text string) point {
	term, number, _ := strings.Cut(text, ".")
	var p point
	p.term, _ = strconv.ParseUint(term, 10, 64)
	p.number, _ = strconv.ParseUint(number, 10, 64)
	return p
}

// change is one write of a transaction.
type change struct{ id, item, data string }

// commitment is a commit in a log.
type commitment struct {
	point   point
	changes []change
	// received is when the backend received it.
	received time.Time
	// old says that another backend had taken the lead before.
	old bool
}

// group is a service with its backends. Its lock guards all of them.
type group struct {
	world   *world
	service string
	mu      sync.Mutex
	term    uint64
	members []*backend
	// work is how long a statement takes, slots and connections what one backend takes, and queue the
	// number of statements that wait for a slot before others get BUSY.
	work        time.Duration
	slots       int
	connections int
	queue       int
	promoteTime time.Duration
}

// backend is one server of a group.
type backend struct {
	group   *group
	id      string
	zone    string
	address string
	born    int64

	primary bool
	// term is the newest term that the backend knows.
	term uint64
	// dark says that the backend answers nobody.
	dark bool
	// lag is how much later a replica applies what it has received.
	lag      time.Duration
	log      []commitment
	sessions int
	waiting  int
	slots    chan struct{}
	sequence uint64
	gone     bool
	spoke    time.Time
	// open are the open transactions.
	open map[*session]bool
	// grey is the share of the statements that the backend refuses as busy, although it is well.
	grey float64
}

// newGroup starts the backends of a service, the first of which is the primary.
func (w *world) newGroup(service string, slots, connections, queue int, work, lag time.Duration) *group {
	g := &group{world: w, service: service, term: 1, work: work, slots: slots, connections: connections, queue: queue, promoteTime: 300 * time.Millisecond}
	for i := range 3 {
		listener := w.listen(w.ip())
		b := &backend{
			group: g, id: fmt.Sprintf("i-%s-%d", service, i+1), zone: w.zones[i%len(w.zones)], address: listener.Addr().String(), born: time.Now().UnixMilli(),
			primary: i == 0, term: 1, lag: lag, slots: make(chan struct{}, slots), spoke: time.Now(), open: map[*session]bool{},
		}
		g.members = append(g.members, b)
		go b.accept(listener)
		go b.beat()
	}
	w.groups[service] = g
	return g
}

// beat writes the entry of the backend into the store. The platform removes it after three intervals of silence.
func (b *backend) beat() {
	for ; ; time.Sleep(heartbeat) {
		b.report()
		b.group.mu.Lock()
		silent := time.Since(b.spoke) > 3*heartbeat && !b.gone
		if silent {
			b.gone = true
		}
		b.group.mu.Unlock()
		if silent {
			b.group.world.note("entry of %s removed after three intervals of silence", b.id)
			b.group.world.store.drop("servers/" + b.id)
		}
	}
}

// report writes the entry, unless the backend is dark.
func (b *backend) report() {
	b.group.mu.Lock()
	if b.dark {
		b.group.mu.Unlock()
		return
	}
	b.sequence++
	b.spoke, b.gone = time.Now(), false
	role := "replica"
	if b.primary {
		role = "primary"
	}
	body := map[string]any{
		"service": b.group.service, "address": b.group.world.link(b.address).address, "zone": b.zone, "version": "v1", "slots": b.group.slots, "state": "ready",
		"cold_remaining_ms": 0, "db_role": role, "sequence": b.sequence, "born": b.born,
	}
	b.group.mu.Unlock()
	b.group.world.store.put("servers/"+b.id, body)
}

// promote makes a backend the primary of the next term some time later. The former one loses the lead in that
// moment or, where the platform doesn't check fences, a second later. It returns false if the backend isn't running.
func (g *group) promote(id string) bool {
	i := slices.IndexFunc(g.members, func(b *backend) bool { return b.id == id })
	if i < 0 {
		return false
	}
	chosen := g.members[i]
	g.mu.Lock()
	present, running := chosen.primary && chosen.term == g.term, !chosen.dark
	g.mu.Unlock()
	if present || !running {
		return running
	}
	time.AfterFunc(g.promoteTime, func() {
		g.mu.Lock()
		g.term++
		term := g.term
		for _, b := range g.members {
			switch {
			case b == chosen:
				b.primary, b.term = true, term
			case b.primary && g.world.unfenced:
				time.AfterFunc(time.Second, func() {
					g.mu.Lock()
					b.follow(chosen, term)
					g.mu.Unlock()
					b.report()
				})
			default:
				b.follow(chosen, term)
			}
		}
		g.mu.Unlock()
		g.world.note("%s leads term %d of %s", id, term, g.service)
		for _, b := range g.members {
			b.report()
		}
	})
	return true
}

// follow makes the backend a replica of a primary, whose log it gets. The lock is held.
func (b *backend) follow(primary *backend, term uint64) {
	if b.term > term {
		return
	}
	b.primary, b.term, b.log = false, term, slices.Clone(primary.log)
}

// end returns the end of what the backend has received, and applied the end of what its reads see with the
// number of commits. The lock is held.
func (b *backend) end() point {
	if n := len(b.log); n > 0 {
		return b.log[n-1].point
	}
	return point{1, 0}
}

func (b *backend) applied() (point, int) {
	n := len(b.log)
	if !b.primary {
		for n > 0 && time.Since(b.log[n-1].received) < b.lag {
			n--
		}
	}
	if n == 0 {
		return point{1, 0}, 0
	}
	return b.log[n-1].point, n
}

// accept serves the connections.
func (b *backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

// session is one connection to a backend.
type session struct {
	backend *backend
	conn    net.Conn
	tenant  string
	values  map[string]string
	names   map[string]string
	inTx    bool
	write   bool
	failed  bool
	changes []change
	// begunFor is the first statement of the open transaction.
	begunFor string
}

// awaitLight waits while the backend is dark.
func (b *backend) awaitLight() {
	for {
		b.group.mu.Lock()
		dark := b.dark
		b.group.mu.Unlock()
		if !dark {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *backend) serve(conn net.Conn) {
	b.awaitLight()
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	s := &session{backend: b, conn: conn, values: map[string]string{}, names: map[string]string{}}
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != b.group.service || (len(fields) > 3 && fields[3] != b.id) {
		_, _ = fmt.Fprintf(conn, "ERROR MOVED %s\r\n", b.id)
		return
	}
	s.tenant = fields[2]
	b.group.mu.Lock()
	full := b.sessions >= b.group.connections
	if !full {
		b.sessions++
	}
	b.group.mu.Unlock()
	if full {
		_, _ = fmt.Fprintf(conn, "ERROR CONNLIMIT %s\r\n", b.id)
		return
	}
	defer func() {
		b.group.mu.Lock()
		b.sessions--
		delete(b.open, s)
		b.group.mu.Unlock()
	}()
	time.Sleep(2 * time.Millisecond)
	b.group.mu.Lock()
	at, _ := b.applied()
	b.group.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", at); err != nil {
		return
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		b.awaitLight()
		if _, err := conn.Write([]byte(s.run(id, text))); err != nil {
			return
		}
	}
}

// run runs one statement and returns the whole answer.
func (s *session) run(id, text string) string {
	b := s.backend
	verb, _, _ := strings.Cut(text, " ")
	after, prefixed := point{}, false
	if verb == "AFTER" {
		_, rest, _ := strings.Cut(text, " ")
		position, query, _ := strings.Cut(rest, " ")
		after, prefixed, text = parsePoint(position), true, query
		verb, _, _ = strings.Cut(text, " ")
	}
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT", "STATUS":
		if !b.enter() {
			return s.reply("ERROR BUSY all slots are taken")
		}
		time.Sleep(b.group.work)
		defer func() { <-b.slots }()
	}
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	if at, _ := b.applied(); prefixed && at.less(after) {
		return s.reply("ERROR LAGGING " + b.id)
	}
	return s.reply(s.execute(id, verb, text))
}

// enter waits for a slot. It returns false if too many statements wait already.
func (b *backend) enter() bool {
	b.group.mu.Lock()
	full := (b.waiting >= b.group.queue && len(b.slots) == cap(b.slots)) || rand.Float64() < b.grey
	if !full {
		b.waiting++
	}
	b.group.mu.Unlock()
	if full {
		return false
	}
	b.slots <- struct{}{}
	b.group.mu.Lock()
	b.waiting--
	b.group.mu.Unlock()
	return true
}

// reply completes an answer with the state and the position.
func (s *session) reply(lines string) string {
	if strings.HasPrefix(lines, "ERROR") && s.inTx {
		s.failed = true
	}
	state := "I"
	switch {
	case s.failed:
		state = "E"
	case s.inTx:
		state = "T"
	}
	at, _ := s.backend.applied()
	return fmt.Sprintf("%s\r\nREADY %s %s\r\n", lines, state, at)
}

// execute runs a statement that has its slot and returns its answer without the last line. The lock is held.
func (s *session) execute(id, verb, text string) string {
	b := s.backend
	fields := strings.SplitN(text, " ", 4)
	switch verb {
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		if term, _ := strconv.ParseUint(fields[len(fields)-1], 10, 64); verb == "STEPDOWN" && term > b.term {
			b.primary = false
			go b.report()
		}
		role := "replica"
		if b.primary {
			role = "primary"
		}
		return fmt.Sprintf("ROW %s %d %s 0 %d %d %d\r\nCOMPLETE -", role, b.term, b.end(), b.lag.Milliseconds(), len(b.slots), b.sessions)
	case "ROLLBACK":
		s.endTransaction()
		return "COMPLETE -"
	case "RESET":
		s.values, s.names = map[string]string{}, map[string]string{}
		return "COMPLETE -"
	}
	if s.failed {
		if verb == "COMMIT" {
			s.endTransaction()
			return "ERROR ABORTED the transaction had failed"
		}
		return "ERROR MALFORMED the transaction has failed"
	}
	switch verb {
	case "BEGIN":
		plain := text == "BEGIN"
		if plain && !b.primary {
			return "ERROR READONLY " + b.id
		}
		s.inTx, s.write, s.changes, s.begunFor = true, plain, nil, ""
		b.open[s] = true
		return "COMPLETE -"
	case "SET":
		s.values[fields[1]] = strings.Join(fields[2:], " ")
		return "COMPLETE -"
	case "PREPARE":
		s.names[fields[1]] = fields[2] + " " + fields[3]
		return "COMPLETE -"
	}
	writes, item, data := verb == "WRITE", "", ""
	switch verb {
	case "COMMIT":
		if len(s.changes) > 0 && !b.primary {
			s.endTransaction()
			return "ERROR READONLY " + b.id
		}
		return b.complete(s, id, s.changes)
	case "EXECUTE":
		shape, ok := s.names[fields[1]]
		if !ok {
			return "ERROR NOSTMT " + fields[1]
		}
		writes, item = strings.HasPrefix(shape, "WRITE"), fields[2]
		data = strings.Join(fields[3:], " ")
	default:
		item, data = fields[1], strings.Join(fields[2:], " ")
	}
	if (writes || s.write) && !b.primary {
		return "ERROR READONLY " + b.id
	}
	if s.inTx && s.begunFor == "" {
		s.begunFor = id
	}
	if !writes {
		at, n := b.applied()
		b.group.world.ranRead(b, id, at, n)
		return fmt.Sprintf("ROW %s\r\nCOMPLETE %s", b.value(item, n), id)
	}
	c := change{id, item, data}
	b.group.world.note("%s runs the write %s", b.id, id)
	if s.inTx {
		s.changes = append(s.changes, c)
		return "COMPLETE " + id
	}
	return b.complete(s, id, []change{c})
}

// value returns what the first n commits of the log say of an item. The lock is held.
func (b *backend) value(item string, n int) string {
	for _, c := range slices.Backward(b.log[:n]) {
		for _, w := range slices.Backward(c.changes) {
			if w.item == item {
				return w.data
			}
		}
	}
	return "nothing"
}

// complete commits changes and ends the transaction. The lock is held.
func (b *backend) complete(s *session, id string, changes []change) string {
	s.endTransaction()
	if len(changes) == 0 {
		return "COMPLETE " + id
	}
	next := commitment{point: point{b.term, b.end().number + 1}, changes: changes, received: time.Now(), old: b.term < b.group.term}
	for _, other := range b.group.members {
		if other == b || (!other.dark && !b.dark && !other.primary && other.term <= b.term) {
			other.log = append(other.log, next)
		}
	}
	b.group.world.committed(b, next)
	return "COMPLETE " + id
}

func (s *session) endTransaction() {
	s.inTx, s.write, s.failed, s.changes, s.begunFor = false, false, false, nil, ""
	delete(s.backend.open, s)
}
