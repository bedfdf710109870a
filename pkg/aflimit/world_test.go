package aflimit

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"pgregory.net/rapid"
)

// world is a fleet whose messages are lost, duplicated, late and crossed, whose platform answers are lost, whose VMs
// die, are reborn and act at any time, and whose clocks run up to 10 % wrong.
type world struct {
	t         *rapid.T
	without   guard
	limits    []Limit // limits are the configurations that VMs may switch to.
	now       time.Duration
	nodes     map[string]*node
	listed    map[arbutusfork.Incarnation]bool // listed holds who is gone by the platform's list.
	record    ShareRecord
	version   int64
	messages  []func() // messages are in flight. Each may be delivered never, once or often.
	platform  []func() // platform holds the writes that have not reached the platform.
	history   []admission
	starts    int64
	peakRate  Amount
	peakBurst Amount
}

type node struct {
	self    arbutusfork.Incarnation
	account *Account
	share   ShareView
	boot    time.Duration
	clock   int64 // clock is the rate of the VM's clock in percent.
	dead    bool
	writing bool
	asked   []LoanRequest
}

type admission struct {
	at     time.Duration
	tokens int64
	hold   *Reservation
	owner  *node
}

const clockError = 10 // clockError is the greatest rate error of a clock in percent.

func newWorld(t *rapid.T, without guard, limits ...Limit) *world {
	w := &world{t: t, without: without, limits: limits, nodes: map[string]*node{}, listed: map[arbutusfork.Incarnation]bool{}}
	w.use(limits[0])
	for _, vm := range []string{"a", "b", "c"} {
		w.birth(vm)
	}
	if rapid.Bool().Draw(t, "warm") {
		w.warm()
	}
	return w
}

// warm splits the limit over the VMs, as it is after an undisturbed start.
func (w *world) warm() {
	w.record = NewShareRecord()
	for _, vm := range []string{"a", "b", "c"} {
		var fresh int64
		n := w.nodes[vm]
		w.record, fresh = w.record.WithParts(n.self, TotalParts/3)
		n.account.SetBaseParts(TotalParts/3, fresh, 0)
	}
	w.version = 1
	for _, n := range w.nodes {
		n.observe(w.record, w.version, 0)
	}
}

func (w *world) use(l Limit) {
	w.peakRate, w.peakBurst = max(w.peakRate, l.Rate), max(w.peakBurst, l.Burst)
}

// birth starts a VM, which proves that its earlier incarnation is gone.
func (w *world) birth(vm string) {
	if n := w.nodes[vm]; n != nil {
		w.listed[n.self] = true
	}
	w.starts++
	n := &node{self: arbutusfork.Incarnation{VM: vm, Start: w.starts}, boot: w.now}
	n.clock = rapid.SampledFrom([]int64{100 - clockError, 100, 100 + clockError}).Draw(w.t, "clock")
	n.account = NewAccount(w.limits[0], 0)
	n.account.without = w.without
	n.share = NewShareView(n.self)
	n.share.without = w.without
	w.nodes[vm] = n
}

func (w *world) local(n *node) time.Duration { return (w.now - n.boot) * time.Duration(n.clock) / 100 }

// send puts a message to one incarnation in flight.
func (w *world) send(to *node, deliver func()) {
	w.messages = append(w.messages, func() {
		if !to.dead {
			deliver()
		}
	})
}

// deliverLast delivers the latest message.
func (w *world) deliverLast() {
	if i := len(w.messages); i > 0 {
		deliver := w.messages[i-1]
		w.messages = w.messages[:i-1]
		deliver()
	}
}

func (w *world) ask(n, lender *node, q LoanRequest) {
	n.asked = append(n.asked, q)
	w.send(lender, func() {
		g := lender.account.GrantLoan(n.self, q, w.local(lender))
		w.send(n, func() { n.account.CreditGrant(g, w.local(n)) })
	})
}

func (w *world) giveback(n *node, vm string, g LoanReturn) {
	lender := w.nodes[vm]
	w.send(lender, func() { lender.account.TakeBackLoan(n.self, g, w.local(lender)) })
}

func (n *node) observe(r ShareRecord, version int64, now time.Duration) {
	next, fresh, ok := n.share.WithRecord(r, version)
	if ok {
		n.share = next
		n.account.SetBaseParts(n.share.UsableParts(), fresh, now)
	}
}

// write sends the planned write. Its answer may be lost, and it may still take effect after the VM has given up.
func (w *world) write(n *node, target int64) {
	n.share = n.share.WithGoneHolders(func(i arbutusfork.Incarnation) bool { return w.listed[i] }, w.local(n))
	q, needed := n.share.PlanWrite(target, n.account.LentParts(), w.local(n))
	if !needed || n.writing {
		return
	}
	n.share = n.share.WithUnconfirmedWrite(q)
	n.account.SetBaseParts(n.share.UsableParts(), 0, w.local(n))
	n.writing = true
	w.platform = append(w.platform, func() {
		applied := w.version == q.BaseVersion
		if applied {
			w.record, w.version = q.Record, w.version+1
		}
		version, awaited := w.version, n.writing && !n.dead
		if !awaited || rapid.Bool().Draw(w.t, "answer lost") {
			return
		}
		n.writing = false
		if applied {
			n.observe(q.Record, version, w.local(n))
			return
		}
		n.share = n.share.WithoutLatestWrite()
		n.account.SetBaseParts(n.share.UsableParts(), 0, w.local(n))
	})
}

// act carries out one action of the VM.
func (w *world) act(n *node, action string) {
	now, a := w.local(n), n.account
	switch action {
	case "reserve":
		tokens := rapid.Int64Range(1, w.peakBurst.WholeTokens()).Draw(w.t, "tokens")
		if h := a.ReserveTokens(tokens, now); h != nil {
			w.history = append(w.history, admission{at: w.now, tokens: tokens, hold: h, owner: n})
		}
	case "settle":
		w.settle(n)
	case "ask":
		tokens := Tokens(rapid.Int64Range(0, w.peakBurst.WholeTokens()).Draw(w.t, "tokens"))
		vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "lender")
		if w.nodes[vm] != n {
			w.ask(n, w.nodes[vm], a.RequestLoan(vm, tokens, Parts{Rate: w.parts(), Burst: w.parts()}, now))
		}
	case "loan": // A loan without a fault, so that runs reach deep states.
		w.act(n, "ask")
		w.deliverLast()
		w.deliverLast()
	case "renew":
		for _, l := range a.TakenLoans() {
			w.ask(n, w.nodes[l.Lender], a.RequestRenewal(l, now))
		}
	case "giveback":
		for _, l := range a.TakenLoans() {
			if g, ok := a.ReturnLoan(l.ID, now); ok {
				w.giveback(n, l.Lender, g)
			}
		}
	case "abandon":
		for _, q := range n.asked {
			for _, r := range a.borrower.open {
				if r.id == q.ID {
					w.giveback(n, r.from, a.AbandonRequest(q))
				}
			}
		}
	case "forget":
		a.ReclaimLoans(func(i arbutusfork.Incarnation) bool { return w.listed[i] }, now)
	case "read":
		if !n.writing {
			n.observe(w.record, w.version, now)
		}
	case "timeout":
		n.writing = false
	case "write":
		w.write(n, rapid.SampledFrom([]int64{0, TotalParts / 3, TotalParts / 2, TotalParts}).Draw(w.t, "target"))
	case "commit": // A write that the platform carries out at once.
		w.act(n, "write")
		if i := len(w.platform); n.writing && i > 0 {
			reach := w.platform[i-1]
			w.platform = w.platform[:i-1]
			reach()
		}
	case "configure":
		l := rapid.SampledFrom(w.limits).Draw(w.t, "limit")
		w.use(l)
		a.SetLimit(l, now)
	}
}

func (w *world) parts() int64 { return rapid.Int64Range(0, TotalParts).Draw(w.t, "parts") }

func (w *world) settle(n *node) {
	for i := range w.history {
		x := &w.history[i]
		if x.hold.settled || x.owner != n {
			continue
		}
		x.tokens = rapid.Int64Range(0, x.tokens).Draw(w.t, "actual")
		n.account.SettleReservation(x.hold, x.tokens, w.local(n))
		return
	}
}

// step carries out one random action.
func (w *world) step() {
	actions := []string{
		"wait", "wait", "deliver", "deliver", "deliver", "deliver", "duplicate", "reach", "reach", "die", "birth", "list",
		"reserve", "reserve", "settle", "ask", "loan", "loan", "commit", "commit", "renew", "giveback", "abandon", "forget", "read", "timeout", "write", "configure",
	}
	action := rapid.SampledFrom(actions).Draw(w.t, "action")
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(w.t, "which") }
	n := w.nodes[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "vm")]
	switch action {
	case "wait":
		waits := []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second, 9500 * time.Millisecond, 11 * time.Second, LoanTerm + LoanTermMargin}
		w.now += rapid.SampledFrom(waits).Draw(w.t, "time")
	case "deliver", "duplicate":
		if len(w.messages) > 0 {
			i := pick(len(w.messages))
			deliver := w.messages[i]
			if action == "deliver" {
				w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
			}
			deliver()
		}
	case "reach":
		if len(w.platform) > 0 {
			i := pick(len(w.platform))
			reach := w.platform[i]
			w.platform = append(w.platform[:i:i], w.platform[i+1:]...)
			reach()
		}
	case "die":
		n.dead = true
		if rapid.Bool().Draw(w.t, "listed") {
			w.listed[n.self] = true
		}
	case "birth":
		if n.dead {
			w.birth(n.self.VM)
		}
	case "list":
		if n.dead {
			w.listed[n.self] = true
		}
	default:
		if !n.dead {
			w.act(n, action)
		}
	}
}

// check compares every pair of instants: a virtual bucket that is filled by admissions and drained at the rate holds
// the most that any interval up to now has admitted beyond the rate. What the VMs could admit now counts as well.
func (w *world) check() error {
	level, at := Amount(0), time.Duration(0)
	drain := func(now time.Duration) {
		// Clocks that run fast refill faster by their error.
		a, _, ok := refill(w.peakRate*(100+clockError)/100, now-at, 0)
		if at = now; !ok || a > level {
			a = level
		}
		level -= a
	}
	slack := Amount(len(w.history) + len(w.nodes)) // Rounding in refills, in units of 1e-9 token.
	for _, x := range w.history {
		drain(x.at)
		if level += Tokens(x.tokens); level > w.peakBurst+slack {
			return fmt.Errorf("at %v an interval has admitted %v tokens above the rate, the burst is %v", x.at, inTokens(level), inTokens(w.peakBurst))
		}
	}
	drain(w.now)
	for _, n := range w.nodes {
		if !n.dead {
			level += max(0, n.account.Level(w.local(n)))
		}
	}
	if level > w.peakBurst+slack {
		return fmt.Errorf("at %v the VMs could admit up to %v tokens above the rate, the burst is %v", w.now, inTokens(level), inTokens(w.peakBurst))
	}
	return nil
}

func inTokens(a Amount) float64 { return float64(a) / float64(Token) }
