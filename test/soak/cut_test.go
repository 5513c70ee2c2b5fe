package soak_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// cutStream selects a random stream of its own, so that the schedule of disturbances is the same
	// as without cuts.
	cutStream    = 9 << 32
	defaultZones = 2
	cutZones     = 3
	// cutPauseFactor is how many times as long the pauses between other disturbances are: owners
	// have to last until a cut shows.
	cutPauseFactor = 5
	minCutMillis   = 1000
	maxCutMillis   = 9000
	// maxAheadMillis bounds how long before a cut open connections go silent, while new ones work.
	maxAheadMillis = 2000
	// firstWorkerIP is the last byte of the IP address of the first machine.
	firstWorkerIP = 30
	firstEntryIP  = 10
)

func zoneName(number, zones int) string { return fmt.Sprintf("z%d", number%zones) }

// ownNetwork is what the IP addresses of this test's entries and workers begin with.
func ownNetwork() string { return fmt.Sprintf("127.%d.%d.", 16+os.Getpid()%200, os.Getpid()/200%250) }

func entryIP(number int) string { return fmt.Sprint(ownNetwork(), firstEntryIP+number) }

func workerIP(network string, machine int) string { return fmt.Sprint(network, firstWorkerIP+machine) }

func peerAddr(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(peerPort)) }

// All entries have the same source address when they call each other or workers. So with cuts each
// entry calls them at a port of its own, where a link listens, and the table and the links between
// entries change the ports in all rows accordingly.

// aliasPort returns the port of an entry's links, as it stands after an IP address.
func aliasPort(number int) []byte { return fmt.Appendf(nil, ":%d", peerPort+1+number) }

// portAlias changes the ports in a row that an entry reads or writes.
func portAlias(caller string, value []byte, isWrite bool) []byte {
	number, err := strconv.Atoi(caller[strings.LastIndex(caller, ".")+1:])
	if number -= firstEntryIP; err != nil || number < 0 {
		return value
	}
	port, alias := fmt.Appendf(nil, ":%d", peerPort), aliasPort(number)
	if isWrite {
		return bytes.ReplaceAll(value, alias, port)
	}
	value = bytes.ReplaceAll(value, port, alias)
	return bytes.ReplaceAll(value, []byte(caller+string(alias)), []byte(caller+string(port)))
}

// route is a link of an entry that may be cut.
type route struct {
	*link
	from *entry
	to   *entry // nil: the platform or a worker
	zone string // of what it leads to; empty: the platform
}

// addRoutes has each entry call the others and the workers through links.
func (s *soak) addRoutes() {
	for i, e := range s.entries {
		s.routes = append(s.routes, &route{link: e.link, from: e})
		for _, to := range s.entries {
			if to == e {
				continue
			}
			l := newLink(s.t, &link{at: to.ip + string(aliasPort(i)), to: peerAddr(to.ip), rename: func(b []byte, isAnswer bool) []byte {
				if isAnswer {
					return portAlias(e.ip, portAlias(to.ip, b, true), false)
				}
				return portAlias(to.ip, portAlias(e.ip, b, true), false)
			}})
			to.inbound = append(to.inbound, l)
			s.routes = append(s.routes, &route{link: l, from: e, to: to, zone: to.zone})
		}
		for m := range machines {
			ip := workerIP(ownNetwork(), m)
			s.routes = append(s.routes, &route{link: newLink(s.t, &link{at: ip + string(aliasPort(i)), to: peerAddr(ip)}), from: e, zone: zoneName(m, cutZones)})
		}
	}
}

// cutKind is what a cut separates.
type cutKind string

const (
	cutZone    cutKind = "zone"    // a zone from all others and the platform
	cutEntry   cutKind = "entry"   // one entry from all that isn't in its zone
	cutCalls   cutKind = "calls"   // the same, except that it reaches the other entries
	cutWorkers cutKind = "workers" // some workers from some entries
)

// separates reports whether a cut at an entry includes a link.
func (k cutKind) separates(at *entry, r *route, isChosen bool) bool {
	switch k {
	case cutZone:
		return (r.from.zone == at.zone) != (r.zone == at.zone)
	case cutEntry:
		return r.from == at && r.zone != at.zone || r.to == at && r.from.zone != at.zone
	case cutCalls:
		return r.from == at && r.to == nil && r.zone != at.zone
	default:
		return r.to == nil && r.zone != "" && isChosen
	}
}

// cutZones cuts a zone or a part of it off, again and again. Owners are cut off more often than
// others, and whole zones, as an owner that is cut off alone hands its pool over in its zone.
func (s *soak) cutZones(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.seed, cutStream))
	for ctx.Err() == nil {
		sleep(ctx, time.Duration(500+random.IntN(2000))*time.Millisecond)
		kinds := []cutKind{cutZone, cutZone, cutEntry, cutCalls, cutWorkers}
		kind := kinds[random.IntN(len(kinds))]
		how := []mode{modeSilent, modeHeld}[random.IntN(2)]
		duration := time.Duration(minCutMillis+random.IntN(maxCutMillis-minCutMillis)) * time.Millisecond
		until := time.Duration(random.Float64() * float64(duration))
		e := s.entries[random.IntN(len(s.entries))]
		if owner := s.owner(); random.IntN(4) > 0 && owner != nil {
			e = owner
		}
		s.t.Logf("%s cut of %s at %s in %s, %s, for %s", clock(time.Now()), kind, e.name, e.zone, how, duration)
		var cut []*route
		for _, r := range s.routes {
			if kind.separates(e, r, random.IntN(2) == 0) {
				cut = append(cut, r)
			}
		}
		if ahead := time.Duration(random.IntN(maxAheadMillis)) * time.Millisecond; random.IntN(3) == 0 {
			s.t.Logf("%s open connections go silent, the cut follows in %s", clock(time.Now()), ahead)
			setCuts(cut, modeSilent)
			setCuts(cut, "")
			sleep(ctx, ahead)
		}
		setCuts(cut, how)
		sleep(ctx, until)
		s.disturbCut(e, random)
		sleep(ctx, duration-until)
		setCuts(cut, "")
	}
}

func setCuts(routes []*route, m mode) {
	for _, r := range routes {
		r.setCut(m)
	}
}

// disturbCut freezes or kills an entry, or has workers start again under their IDs, while something
// is cut off.
func (s *soak) disturbCut(e *entry, random *rand.Rand) {
	what, duration := random.IntN(6), time.Duration(200+random.IntN(4000))*time.Millisecond
	first, count := random.IntN(machines), 1+random.IntN(2)
	afterwards := func(do func()) {
		s.disturbances.Go(func() {
			time.Sleep(duration) // the duration that the schedule gives the disturbance
			do()
		})
	}
	switch what {
	case 0:
		s.t.Logf("%s %s is frozen for %s", clock(time.Now()), e.name, duration)
		e.signal(syscall.SIGSTOP)
		afterwards(func() { e.signal(syscall.SIGCONT) })
	case 1:
		s.t.Logf("%s %s is killed for %s", clock(time.Now()), e.name, duration)
		<-e.signal(syscall.SIGKILL)
		afterwards(e.start)
	case 2:
		for i := range count {
			s.t.Logf("%s worker of m-%d starts again", clock(time.Now()), (first+i)%machines)
			s.platform.tryRequest(fmt.Sprintf("/crash?machine=m-%d", (first+i)%machines))
		}
	}
}

// owner returns the entry that owns the pool by the table; nil if none does.
func (s *soak) owner() *entry {
	var addr string
	s.platform.get("/owner", &addr)
	for _, e := range s.entries {
		if addr == peerAddr(e.ip) {
			return e
		}
	}
	return nil
}
