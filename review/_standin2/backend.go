package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// point is a position in a log.
type point struct{ term, number uint64 }

func (p point) less(q point) bool { return p.term < q.term || p.term == q.term && p.number < q.number }

func (p point) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

// write is one entry of a log: the requests of one commit.
type write struct {
	at  point
	ids []string
}

// backend is one backend of a service.
type backend struct {
	group   *group
	id      string
	zone    string
	address string
	slots   chan struct{}

	// The group's lock guards the fields below.
	log     []write
	term    uint64
	held    uint64
	primary bool
	// up says that the process runs, and answers that its network works. reports says that it reaches the store.
	up, reports bool
	draining    bool
	born        int64
	sequence    int
	conns       map[net.Conn]bool
	// lastReport is when it last wrote its entry, or when its process started again.
	lastReport time.Time
}

func (b *backend) end() point {
	if n := len(b.log); n > 0 {
		return b.log[n-1].at
	}
	return point{}
}

// group is the backends of one service.
type group struct {
	world   *world
	service string
	sync    int
	// work is how long a statement uses a slot. delay is the time after which a replica receives a commit.
	work  func(text string) time.Duration
	delay map[string]time.Duration
	// severed says that the first backend exchanges nothing with the other one.
	severed func(a, b *backend) bool

	mu       sync.Mutex
	received *sync.Cond
	backends []*backend
	term     uint64
	// promotedAt is when a backend last took the lead.
	promotedAt time.Time
}

// newGroup starts a service with one backend in each zone. The first is the primary.
func newGroup(w *world, service string, syncReplicas, slots int, work time.Duration, zones ...string) *group {
	g := &group{world: w, service: service, sync: syncReplicas, term: 1, delay: map[string]time.Duration{}, severed: func(*backend, *backend) bool { return false }}
	g.work = func(string) time.Duration { return work }
	g.received = sync.NewCond(&g.mu)
	for i, zone := range zones {
		listener := w.listen(w.ip())
		b := &backend{
			group: g, id: fmt.Sprintf("i-%s-%d", service, i), zone: zone, address: listener.Addr().String(), slots: make(chan struct{}, slots),
			term: 1, primary: i == 0, up: true, reports: true, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{},
			log: []write{{at: point{1, 1}}},
		}
		g.backends = append(g.backends, b)
		go b.accept(listener)
		go b.report()
	}
	return g
}

// report writes the backend's entry to the store, at once after a change and else each status report interval.
func (b *backend) report() {
	g := b.group
	last := ""
	for range time.Tick(10 * time.Millisecond) {
		g.mu.Lock()
		role, state := "replica", "ready"
		if b.primary {
			role = "primary"
		}
		if b.draining {
			state = "draining"
		}
		text := fmt.Sprintf(`"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"db_role":%q,"born":%d`, g.service, b.address, b.zone, cap(b.slots), state, role, b.born)
		up, since := b.up && b.reports, time.Since(b.lastReport)
		switch {
		case up && (since >= heartbeat || text != last && since < heartbeat && last != "" && strings.Contains(last, strconv.FormatInt(b.born, 10))):
			// A process that has started again writes its first entry with its first status report.
			b.lastReport, last = time.Now(), text
			b.sequence++
			g.world.store.Set("servers/"+b.id, []byte(fmt.Sprintf("{%s,\"sequence\":%d}", text, b.sequence)))
		case !up && since >= 3*heartbeat && last != "":
			last = ""
			g.world.store.Remove("servers/" + b.id)
		}
		g.mu.Unlock()
	}
}

// crash ends the process. Its connections are reset.
func (b *backend) crash() {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	b.up = false
	for c := range b.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	b.group.received.Broadcast()
}

// start starts the process again. A replica has nothing of before, a primary has its log.
func (b *backend) start() {
	g := b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	// Its first status report comes after one interval.
	b.up, b.born, b.sequence, b.held, b.lastReport = true, time.Now().UnixMilli(), 0, 0, time.Now()
	if lead := g.leader(); lead != b {
		b.primary = false
		if lead == nil || !lead.up {
			b.log, b.term = nil, 0
			return
		}
		b.log, b.term = slices.Clone(lead.log), lead.term
	}
}

// leader returns the backend that leads the newest term. The caller holds the lock.
func (g *group) leader() *backend {
	var lead *backend
	for _, b := range g.backends {
		if b.primary && (lead == nil || b.term > lead.term) {
			lead = b
		}
	}
	return lead
}

// promote makes a backend the leader of the next term, some time after the call.
func (g *group) promote(id string, after time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.backends, func(b *backend) bool { return b.id == id })
	if i < 0 || !g.backends[i].up {
		return false
	}
	if g.leader() == g.backends[i] {
		return true
	}
	time.AfterFunc(after, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		b := g.backends[i]
		if !b.up || g.leader() == b {
			return
		}
		g.term++
		g.promotedAt = time.Now()
		g.world.note("%s leads %s from %s on, in term %d", b.id, g.service, b.end(), g.term)
		b.primary, b.term, b.held = true, g.term, 0
		for _, other := range g.backends {
			if other == b {
				continue
			}
			// The old primary loses the lead in that moment, wherever it is.
			other.primary = false
			if other.up && !g.severed(b, other) {
				other.term, other.held, other.log = g.term, 0, slices.Clone(b.log)
			}
		}
	})
	return true
}

// commit appends a commit to the log and waits until it may be acknowledged. The caller holds the lock.
func (b *backend) commit(ids []string) (point, bool) {
	g := b.group
	at := point{b.term, b.end().number + 1}
	entry := write{at, ids}
	b.log = append(b.log, entry)
	acks := 0
	for _, other := range g.backends {
		if other == b {
			continue
		}
		born := other.born
		time.AfterFunc(g.delay[other.id]+time.Millisecond, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			if !b.primary || !b.up || !other.up || other.born != born || other.held > 0 || other.primary || g.severed(b, other) {
				return
			}
			if other.term < b.term {
				// It was away when the present leader took over, and is rolled back.
				other.term, other.log = b.term, nil
			}
			// A replica receives the log in order.
			if other.end().less(at) {
				for _, e := range b.log {
					if other.end().less(e.at) && !at.less(e.at) {
						other.log = append(other.log, e)
					}
				}
			}
			acks++
			g.received.Broadcast()
		})
	}
	for acks < g.sync {
		if !b.up || !b.primary {
			return at, false
		}
		g.received.Wait()
	}
	return at, b.up
}

// accept accepts connections.
func (b *backend) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		b.group.mu.Lock()
		up := b.up
		if up {
			b.conns[conn] = true
		}
		b.group.mu.Unlock()
		if !up {
			// No process listens there.
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
			continue
		}
		go func() {
			b.serve(conn)
			_ = conn.Close()
			b.group.mu.Lock()
			delete(b.conns, conn)
			b.group.mu.Unlock()
		}()
	}
}

// session is the state of a connection to a backend.
type session struct {
	inTx, plain, failed bool
	ids                 []string
	prepared            map[string]bool
}

func (s *session) state() string {
	switch {
	case s.inTx && s.failed:
		return "E"
	case s.inTx:
		return "T"
	default:
		return "I"
	}
}

// serve serves one connection.
func (b *backend) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	line, err := in.ReadString('\n')
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != "CONNECT" || fields[1] != b.group.service || len(fields) > 3 && fields[3] != b.id {
		_, _ = fmt.Fprintf(conn, "ERROR MOVED %s\r\n", b.id)
		return
	}
	tenant := fields[2]
	b.group.mu.Lock()
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", b.end())
	b.group.mu.Unlock()
	s := &session{prepared: map[string]bool{}}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.SplitN(strings.TrimSuffix(line, "\r\n"), " ", 3)
		if len(parts) != 3 || parts[0] != "QUERY" {
			return
		}
		rows, digest, problem := b.run(s, tenant, parts[1], parts[2])
		out := ""
		for _, row := range rows {
			out += "ROW " + row + "\r\n"
		}
		if problem == "" {
			out += "COMPLETE " + digest + "\r\n"
		} else {
			out += "ERROR " + problem + " " + b.id + "\r\n"
		}
		b.group.mu.Lock()
		out += fmt.Sprintf("READY %s %s\r\n", s.state(), b.end())
		b.group.mu.Unlock()
		if _, err := conn.Write([]byte(out)); err != nil {
			return
		}
	}
}

// run runs one message.
func (b *backend) run(s *session, tenant, id, text string) (rows []string, digest, problem string) {
	g := b.group
	var after point
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		_, _ = fmt.Sscanf(position, "%d.%d", &after.term, &after.number)
		text = statement
	}
	words := strings.Fields(text)
	verb := words[0]
	if verb == "READ" || verb == "WRITE" || verb == "COMMIT" || verb == "EXECUTE" {
		g.world.arrived(b, id, text, s)
		b.slots <- struct{}{}
		time.Sleep(g.work(text))
		defer func() { <-b.slots }()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	defer func() {
		if problem != "" && s.inTx {
			s.failed = true
		}
	}()
	digest = "-"
	writes := verb == "WRITE" || verb == "EXECUTE" && s.prepared[words[1]]
	switch {
	case verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "STEPDOWN":
		var term uint64
		if len(words) > 1 {
			term, _ = strconv.ParseUint(words[1], 10, 64)
		}
		role := "replica"
		switch {
		case verb == "PAUSE" && term > b.term && !b.primary:
			b.held = term
		case verb == "RESUME":
			b.held = 0
		case verb == "STEPDOWN" && b.primary && b.term < term:
			b.primary = false
			g.world.note("%s stepped down at %s", b.id, b.end())
		}
		if b.primary {
			role = "primary"
		}
		end := "-"
		if b.end() != (point{}) {
			end = b.end().String()
		}
		g.world.note("%s answers %s: %s term %d received %s", b.id, text, role, b.term, end)
		return []string{fmt.Sprintf("%s %d %s %d 0 0 %d", role, b.term, end, b.held, len(b.conns))}, "-", ""
	case verb == "ROLLBACK":
		s.inTx, s.failed, s.ids = false, false, nil
	case s.inTx && s.failed && verb == "COMMIT":
		s.inTx, s.failed, s.ids = false, false, nil
		return nil, "", "ABORTED"
	case s.inTx && s.failed:
		return nil, "", "MALFORMED"
	case verb == "RESET":
		s.prepared = map[string]bool{}
	case verb == "SET":
	case verb == "PREPARE":
		s.prepared[words[1]] = words[2] == "WRITE"
	case b.end().less(after):
		return nil, "", "LAGGING"
	case verb == "BEGIN":
		if len(words) == 1 && !b.primary {
			return nil, "", "READONLY"
		}
		s.inTx, s.plain, s.failed, s.ids = true, len(words) == 1, false, nil
	case (writes || s.inTx && s.plain && (verb != "COMMIT" || len(s.ids) > 0)) && !b.primary:
		if verb == "COMMIT" {
			s.inTx, s.failed, s.ids = false, false, nil
		}
		return nil, "", "READONLY"
	case verb == "READ" || verb == "EXECUTE" && !writes:
		g.world.ran(b, id, text, b.end())
		if g.world.rows != nil {
			return g.world.rows(text), b.id + "." + id, ""
		}
		return []string{"end " + b.end().String()}, b.id + "." + id, ""
	case writes && s.inTx:
		s.ids = append(s.ids, id)
		g.world.ran(b, id, text, b.end())
		return nil, b.id + "." + id, ""
	case writes || verb == "COMMIT":
		ids := append(s.ids, id)
		empty := verb == "COMMIT" && len(s.ids) == 0
		s.inTx, s.failed, s.ids = false, false, nil
		g.world.ran(b, id, text, b.end())
		if empty {
			return nil, b.id + "." + id, ""
		}
		if _, ok := b.commit(ids); !ok {
			// The process has ended or lost the lead: it doesn't answer.
			return nil, "", "TIMEOUT"
		}
		return nil, b.id + "." + id, ""
	default:
		return nil, "", "MALFORMED"
	}
	return nil, digest, ""
}

// holds reports whether the backend's log has a request's commit.
func (b *backend) holds(id string) bool {
	return slices.ContainsFunc(b.log, func(w write) bool { return slices.Contains(w.ids, id) })
}

// configure writes a configuration.
func (w *world) configure(routes, services, tenants []map[string]any) {
	w.version += 3
	text, _ := json.Marshal(map[string]any{"version": w.version, "routes": routes, "services": services, "tenants": tenants, "limits": map[string]any{"tx_idle_ms": 3000}})
	w.store.Set("op/config", text)
	w.note("configuration %d acknowledged", w.version)
}
