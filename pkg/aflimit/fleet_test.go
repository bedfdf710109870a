package aflimit

import (
	"fmt"
	"time"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/pkg/afversion"
	"pgregory.net/rapid"
)

// fleet is a set of VMs with a platform. Messages are lost, duplicated, delayed and reordered, answers of the
// platform are lost, VMs die and restart at any time, and their clocks run up to 10 % fast or slow.
type fleet struct {
	t              *rapid.T
	disabledGuards guard
	// limits are the configurations that VMs may switch to.
	limits []Limit
	now    time.Duration
	vms    map[string]*fleetVM
	// gone holds the incarnations that the platform reports as gone.
	gone    map[arbutusfork.Incarnation]bool
	record  ShareRecord
	version int64
	// history holds the store's earlier states, if it may go back.
	history []storedRecord
	// inFlight holds the messages on their way. Each may be delivered never, once or several times.
	inFlight []func()
	// pendingWrites holds the writes that have not arrived at the platform.
	pendingWrites []func()
	admissions    []admission
	starts        int64
	// peakRate and peakBurst are the highest limits that any VM has used.
	peakRate  Amount
	peakBurst Amount
}

// fleetVM is one incarnation of a VM.
type fleetVM struct {
	self      arbutusfork.Incarnation
	account   *Account
	shareView ShareView
	startedAt time.Duration
	// clockPercent is the rate of the VM's clock in percent.
	clockPercent int64
	isDead       bool
	// isWriting means that the VM waits for the outcome of a write.
	isWriting    bool
	sentRequests []LoanRequest
	settling     settling
}

// admission is an admitted request.
type admission struct {
	admittedAt time.Duration
	// tokens is the number of tokens reserved or, after the settlement, used.
	tokens      int64
	reservation *Reservation
	vm          *fleetVM
}

// clockErrorPercent is the highest rate error of a clock in percent.
const clockErrorPercent = 10

// newFleet returns a fleet of three VMs, with or without base shares.
func newFleet(t *rapid.T, disabledGuards guard, limits ...Limit) *fleet {
	f := &fleet{t: t, disabledGuards: disabledGuards, limits: limits, vms: map[string]*fleetVM{}, gone: map[arbutusfork.Incarnation]bool{}}
	f.raisePeakLimit(limits[0])
	for _, vm := range []string{"a", "b", "c"} {
		f.startVM(vm)
	}
	if rapid.Bool().Draw(t, "split evenly") {
		f.splitEvenly()
	}
	return f
}

// splitEvenly gives each VM an equal base share, as after a start without faults.
func (f *fleet) splitEvenly() {
	f.record = NewShareRecord()
	for _, vm := range []string{"a", "b", "c"} {
		var neverHeld int64
		n := f.vms[vm]
		f.record, neverHeld = f.record.WithParts(n.self, TotalParts/3)
		n.account.SetBaseParts(TotalParts/3, neverHeld, 0)
	}
	f.version = 1
	for _, n := range f.vms {
		n.applyRecord(f.record, f.version, 0)
	}
}

// raisePeakLimit records that a VM uses the limit.
func (f *fleet) raisePeakLimit(l Limit) {
	f.peakRate, f.peakBurst = max(f.peakRate, l.Rate), max(f.peakBurst, l.Burst)
}

// startVM starts a new incarnation of the VM. The platform then reports the previous one as gone.
func (f *fleet) startVM(vm string) {
	if n := f.vms[vm]; n != nil {
		f.gone[n.self] = true
	}
	f.starts++
	n := &fleetVM{self: arbutusfork.Incarnation{VM: vm, StartID: f.starts}, startedAt: f.now}
	n.clockPercent = rapid.SampledFrom([]int64{100 - clockErrorPercent, 100, 100 + clockErrorPercent}).Draw(f.t, "clock")
	n.account = NewAccount(f.limits[0], 0)
	n.account.disabledGuards = f.disabledGuards
	n.shareView = NewShareView(n.self)
	n.shareView.disabledGuards = f.disabledGuards
	f.vms[vm] = n
}

// localTime returns the time on the VM's clock.
func (f *fleet) localTime(n *fleetVM) time.Duration {
	return (f.now - n.startedAt) * time.Duration(n.clockPercent) / 100
}

// sendMessage puts a message to one incarnation of a VM in flight.
func (f *fleet) sendMessage(to *fleetVM, deliver func()) {
	f.inFlight = append(f.inFlight, func() {
		if !to.isDead {
			deliver()
		}
	})
}

// deliverLatest delivers the latest message in flight.
func (f *fleet) deliverLatest() {
	if i := len(f.inFlight); i > 0 {
		deliver := f.inFlight[i-1]
		f.inFlight = f.inFlight[:i-1]
		deliver()
	}
}

// requestLoan sends a loan request. Its delivery sends the answer.
func (f *fleet) requestLoan(borrower, lender *fleetVM, r LoanRequest) {
	borrower.sentRequests = append(borrower.sentRequests, r)
	f.sendMessage(lender, func() {
		g := lender.account.GrantLoan(borrower.self, r, f.localTime(lender))
		f.sendMessage(borrower, func() { borrower.account.CreditGrant(g, f.localTime(borrower)) })
	})
}

// returnLoan sends the return of a loan.
func (f *fleet) returnLoan(borrower *fleetVM, lenderVM string, r LoanReturn) {
	lender := f.vms[lenderVM]
	f.sendMessage(lender, func() { lender.account.TakeBackLoan(borrower.self, r, f.localTime(lender)) })
}

// applyRecord applies a record that the VM has read or written.
func (n *fleetVM) applyRecord(r ShareRecord, version int64, now time.Duration) {
	next, neverHeld, ok := n.shareView.WithRecord(r, version)
	if ok {
		n.shareView = next
		n.account.SetBaseParts(n.shareView.UsableParts(), neverHeld, now)
	}
}

// writeRecord sends the planned write. Its answer may be lost, and the write may still take effect after the VM has
// stopped waiting.
func (f *fleet) writeRecord(n *fleetVM, target int64) {
	n.shareView = n.shareView.WithGoneHolders(func(i arbutusfork.Incarnation) bool { return f.gone[i] }, f.localTime(n))
	write, needed := f.planWrite(n, target)
	if !needed || n.isWriting {
		return
	}
	n.shareView = n.shareView.WithUnconfirmedWrite(write)
	n.account.SetBaseParts(n.shareView.UsableParts(), 0, f.localTime(n))
	n.isWriting = true
	f.pendingWrites = append(f.pendingWrites, func() {
		isApplied := afversion.Revision(f.version) == afversion.Revision(write.BaseVersion)
		if isApplied {
			f.history = append(f.history, storedRecord{f.record, f.version})
			f.record, f.version = write.Record, f.version+1
		}
		version, isAwaited := f.version, n.isWriting && !n.isDead
		isOtherEra := afversion.Era(f.version) != afversion.Era(write.BaseVersion)
		if !isAwaited || isOtherEra || rapid.Bool().Draw(f.t, "answer lost") {
			return
		}
		n.isWriting = false
		if isApplied {
			n.applyRecord(write.Record, version, f.localTime(n))
			return
		}
		n.shareView = n.shareView.WithoutLatestWrite()
		n.account.SetBaseParts(n.shareView.UsableParts(), 0, f.localTime(n))
	})
}

// runAction carries out one action of the VM.
func (f *fleet) runAction(n *fleetVM, action string) {
	now, a := f.localTime(n), n.account
	switch action {
	case "reserve":
		tokens := rapid.Int64Range(1, f.peakBurst.WholeTokens()).Draw(f.t, "tokens")
		if r := a.ReserveTokens(tokens, now); r != nil {
			f.admissions = append(f.admissions, admission{admittedAt: f.now, tokens: tokens, reservation: r, vm: n})
		}
	case "settle":
		f.settleOldest(n)
	case "request loan":
		tokens := Tokens(rapid.Int64Range(0, f.peakBurst.WholeTokens()).Draw(f.t, "tokens"))
		vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(f.t, "lender")
		if f.vms[vm] != n {
			f.requestLoan(n, f.vms[vm], a.RequestLoan(vm, tokens, Parts{Rate: f.drawParts(), Burst: f.drawParts()}, now))
		}
	case "loan without loss": // A loan without message loss, so that runs reach states with many loans.
		f.runAction(n, "request loan")
		f.deliverLatest()
		f.deliverLatest()
	case "renew loans":
		for _, l := range a.TakenLoans() {
			f.requestLoan(n, f.vms[l.Lender], a.RequestRenewal(l, now))
		}
	case "return loans":
		for _, l := range a.TakenLoans() {
			if r, ok := a.ReturnLoan(l.ID, now); ok {
				f.returnLoan(n, l.Lender, r)
			}
		}
	case "abandon requests":
		for _, sent := range n.sentRequests {
			for _, open := range a.taken.openRequests {
				if open.id == sent.ID {
					f.returnLoan(n, open.lender, a.AbandonRequest(sent))
				}
			}
		}
	case "reclaim loans":
		a.ReclaimLoans(func(i arbutusfork.Incarnation) bool { return f.gone[i] }, now)
	case "read record":
		if !n.isWriting {
			n.applyRecord(f.record, f.version, now)
		}
	case "time out write":
		n.isWriting = false
	case "write record":
		f.writeRecord(n, rapid.SampledFrom([]int64{0, TotalParts / 3, TotalParts / 2, TotalParts}).Draw(f.t, "target"))
	case "commit record": // A write that arrives at the platform at once.
		f.runAction(n, "write record")
		if i := len(f.pendingWrites); n.isWriting && i > 0 {
			reach := f.pendingWrites[i-1]
			f.pendingWrites = f.pendingWrites[:i-1]
			reach()
		}
	case "change limit":
		l := rapid.SampledFrom(f.limits).Draw(f.t, "limit")
		f.raisePeakLimit(l)
		a.SetLimit(l, now)
	}
}

// drawParts draws a number of parts.
func (f *fleet) drawParts() int64 { return rapid.Int64Range(0, TotalParts).Draw(f.t, "parts") }

// settleOldest settles the oldest open reservation of the VM.
func (f *fleet) settleOldest(n *fleetVM) {
	for i := range f.admissions {
		x := &f.admissions[i]
		if x.reservation.isSettled || x.vm != n {
			continue
		}
		x.tokens = rapid.Int64Range(0, x.tokens).Draw(f.t, "actual")
		n.account.SettleReservation(x.reservation, x.tokens, f.localTime(n))
		return
	}
}

// runRandomAction carries out one random action of the network, the platform or a VM.
func (f *fleet) runRandomAction() {
	actions := []string{
		"wait", "wait", "deliver", "deliver", "deliver", "deliver", "duplicate", "apply write", "apply write", "die", "restart", "mark gone",
		"go back", "read records", "reserve", "reserve", "settle", "request loan", "loan without loss", "loan without loss", "commit record", "commit record", "renew loans", "return loans", "abandon requests", "reclaim loans", "read record", "time out write", "write record", "change limit",
	}
	action := rapid.SampledFrom(actions).Draw(f.t, "action")
	pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(f.t, "which") }
	n := f.vms[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(f.t, "vm")]
	switch action {
	case "wait":
		waits := []time.Duration{time.Millisecond, 300 * time.Millisecond, time.Second, 5 * time.Second, 9500 * time.Millisecond, 11 * time.Second, LoanTerm + LoanTermMargin}
		f.now += rapid.SampledFrom(waits).Draw(f.t, "time")
	case "deliver", "duplicate":
		if len(f.inFlight) > 0 {
			i := pick(len(f.inFlight))
			deliver := f.inFlight[i]
			if action == "deliver" {
				f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
			}
			deliver()
		}
	case "apply write":
		if len(f.pendingWrites) > 0 {
			i := pick(len(f.pendingWrites))
			reach := f.pendingWrites[i]
			f.pendingWrites = append(f.pendingWrites[:i:i], f.pendingWrites[i+1:]...)
			reach()
		}
	case "go back":
		f.goBack(pick)
	case "read records": // All VMs learn that the store went back.
		for _, vm := range []string{"a", "b", "c"} {
			if n := f.vms[vm]; !n.isDead {
				f.runAction(n, "read record")
			}
		}
	case "die":
		n.isDead = true
		if rapid.Bool().Draw(f.t, "marked gone") {
			f.gone[n.self] = true
		}
	case "restart":
		if n.isDead {
			f.startVM(n.self.VM)
		}
	case "mark gone":
		if n.isDead {
			f.gone[n.self] = true
		}
	default:
		if !n.isDead {
			f.runAction(n, action)
		}
	}
}

// checkBound checks the bound for every interval up to now. It uses a virtual bucket that admissions fill and that
// the rate drains: its level is the most that any interval ending at that instant has admitted beyond the rate. The
// tokens that the VMs could admit now count as well.
func (f *fleet) checkBound() error {
	level, at := Amount(0), time.Duration(0)
	drain := func(now time.Duration) {
		// A clock that runs fast refills faster by its error.
		drained, _, fits := accruedTokens(f.peakRate*(100+clockErrorPercent)/100, now-at, 0)
		if at = now; !fits || drained > level {
			drained = level
		}
		level -= drained
	}
	slack := Amount(len(f.admissions) + len(f.vms)) // Allows for rounding in refills, in units of 1e-9 token.
	for _, x := range f.admissions {
		drain(x.admittedAt)
		if level += Tokens(x.tokens); level > f.peakBurst+slack {
			return fmt.Errorf("at %v an interval has admitted %v tokens above the rate; the burst is %v", x.admittedAt, tokenCount(level), tokenCount(f.peakBurst))
		}
	}
	drain(f.now)
	for _, n := range f.vms {
		if !n.isDead {
			level += max(0, n.account.Level(f.localTime(n)))
		}
	}
	if level > f.peakBurst+slack {
		return fmt.Errorf("at %v the VMs could admit up to %v tokens above the rate; the burst is %v", f.now, tokenCount(level), tokenCount(f.peakBurst))
	}
	return nil
}

// tokenCount returns the amount as a number of tokens.
func tokenCount(a Amount) float64 { return float64(a) / float64(Token) }
