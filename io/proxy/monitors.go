package proxy

import (
	"context"
	"errors"
	"log/slog"
	"strings"
	"time"

	"pomelofork/core/model"
	"pomelofork/core/promo"
	"pomelofork/io/clock"
	"pomelofork/io/lead"
	"pomelofork/io/store"
	"pomelofork/io/view"
)

// updateMonitors starts to monitor the primaries for which this instance holds the
// right, and stops monitoring all others. It is given the names of all rights that the
// instance holds.
func (n *Node) updateMonitors(ctx context.Context, held []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	monitored := map[model.ServiceID]bool{}
	for _, name := range held {
		if service, ok := strings.CutPrefix(name, monitorRightPrefix); ok {
			monitored[model.ServiceID(service)] = true
		}
	}
	for service := range monitored {
		if _, ok := n.monitors[service]; !ok {
			n.monitors[service] = n.startMonitor(ctx, service)
		}
	}
	for service, stop := range n.monitors {
		if !monitored[service] {
			stop()
			delete(n.monitors, service)
		}
	}
}

// startMonitor monitors a service's primary until the returned function is called. It
// has another server promoted only while this instance holds the right.
func (n *Node) startMonitor(ctx context.Context, service model.ServiceID) context.CancelFunc {
	ctx, cancel := context.WithCancel(ctx)
	name := monitorRight(service)
	lead.New(ctx, lead.Config{
		Service: service, View: n.view, Dialer: n.config.Dialer, Status: n.config.Status, Promoter: n.config.Promoter, Evacuation: n.config.evacuation(), Disabled: n.config.Disabled, Log: n.config.Log,
		Holds: func(now time.Time) bool {
			_, _, ok := n.rights.Holds(now, name)
			return ok
		},
		Current: func(now time.Time) bool {
			_, fence, ok := n.rights.Holds(now, name)
			return ok && n.view.Revision() >= fence
		},
		KeepCopies: func(ctx context.Context, copies promo.CopySet) error {
			era := n.view.Era()
			value, err := view.CopiesValue(copies, era)
			if err != nil {
				return err
			}
			_, err = n.rights.NewFence(ctx, era, name, store.Put{Key: n.view.CopiesKey(service), Value: value})
			return err
		},
		Appoint: func(ctx context.Context, server model.ServerID) (uint64, error) {
			era := n.view.Era()
			value, err := view.AppointmentValue(server, era)
			if err != nil {
				return 0, err
			}
			failed := n.beginAppointment(clock.Now(), service)
			fence, err := n.rights.NewFence(ctx, era, name, store.Put{Key: n.view.AppointmentKey(service), Value: value})
			if errors.Is(err, store.ErrUnavailable) {
				failed()
			}
			return fence, err
		},
		Allows:   func(now time.Time, epoch uint64) bool { return n.allowsPrimary(now, service, epoch) },
		Gateways: gateways{n},
		Observe:  n.entry.Observe,
		Probed:   n.outages.probed, DomainLost: n.outages.lost,
	})
	return cancel
}

// dependentEntries returns the entries that this instance has to write again with a right, in a new
// era of the store: the monitor of a service's primary writes its appointment and the copies of its log.
func (n *Node) dependentEntries(right string, era uint64) []store.Put {
	name, ok := strings.CutPrefix(right, monitorRightPrefix)
	if !ok {
		return nil
	}
	service, state := model.ServiceID(name), n.view.State()
	var puts []store.Put
	add := func(key string, value []byte, err error) {
		if err != nil {
			n.config.Log.LogAttrs(context.Background(), slog.LevelError, "cannot encode an entry to write it again", slog.String("key", key), slog.String("error", err.Error()))
			return
		}
		puts = append(puts, store.Put{Key: key, Value: value})
	}
	if appointment, ok := state.Appointments[service]; ok {
		value, err := view.FormerAppointmentValue(appointment, era)
		add(n.view.AppointmentKey(service), value, err)
	}
	if copies, ok := state.Copies[service]; ok {
		value, err := view.CopiesValue(copies, era)
		add(n.view.CopiesKey(service), value, err)
	}
	return puts
}
