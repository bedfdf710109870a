package afrecover

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	paymentPath    = "/app/payments"
	paymentPatient = 15 * time.Second
	paymentPause   = 200 * time.Millisecond
)

// Payment is a call that must run at most once, with all attempts of its caller.
type Payment struct {
	ID       string
	Attempts []Sample
}

// IsPaid reports whether the caller got the answer.
func (p Payment) IsPaid() bool {
	return len(p.Attempts) > 0 && p.Attempts[len(p.Attempts)-1].Result == ResultAnswered
}

// IsNotRun reports whether every attempt was refused as not run.
func (p Payment) IsNotRun() bool {
	for _, a := range p.Attempts {
		if a.Result != ResultUnreached && (a.Result != ResultRefused || a.Outcome != "not run") {
			return false
		}
	}
	return true
}

// wrong tells how the number of runs contradicts what the caller was told.
func (p Payment) wrong(runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("payment %s ran %d times", p.ID, runs)
	case p.IsPaid() && runs == 0:
		return fmt.Sprintf("payment %s was answered and did not run", p.ID)
	case p.IsNotRun() && runs > 0:
		return fmt.Sprintf("payment %s was refused as not run and ran", p.ID)
	}
	return ""
}

// pay sends a payment and repeats it at another VM while that may help.
func (l *LoadGenerator) pay(ctx context.Context, p Profile, n int) {
	payment := Payment{ID: fmt.Sprintf("pay-%s-%d", l.run, n)}
	q := request{
		customer: p.Customer, key: l.keys[p.Customer], path: paymentPath, once: payment.ID,
		body: fmt.Appendf(nil, `{"id":%q,"amount":125}`, payment.ID),
	}
	until := time.Now().Add(paymentPatient)
	except := -1
	for {
		s := l.route(ctx, q, except)
		payment.Attempts = append(payment.Attempts, s)
		if !repeats(s) || time.Now().After(until) {
			break
		}
		except = s.VM
		if pause(ctx, paymentPause) != nil {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.payments = append(l.payments, payment)
}

// repeats reports whether a caller sends the payment again.
func repeats(s Sample) bool {
	switch s.Result {
	case ResultCut, ResultUnreached:
		return true
	case ResultRefused:
		return s.Outcome == "not run" && s.Status == http.StatusServiceUnavailable || s.Code == "call_in_progress"
	}
	return false
}
