package afrecover

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// lateSlack is the time that an answer may take beyond its deadline on a busy machine.
const lateSlack = 1500 * time.Millisecond

// Report is what the callers of a load saw.
type Report struct {
	StartedAt, EndedAt time.Time
	Samples            []Sample
	Payments           []Payment
	Redials            int
	// PeakReads and PeakWrites are the highest calls per second at the platform.
	PeakReads, PeakWrites int64
	// CallsByKind are the calls by kind of the second with the most writes.
	CallsByKind map[string]int64
	// Comparisons is how often the engines were compared with the record.
	Comparisons int
	// Violations name the broken conditions of the design page.
	Violations []string
}

func (l *LoadGenerator) report(ctx context.Context, start, end time.Time, w *watch) (Report, error) {
	r := Report{
		StartedAt: start, EndedAt: end, Samples: l.samples, Payments: l.payments, Redials: l.redials,
		PeakReads: w.reads, PeakWrites: w.writes, CallsByKind: w.kinds, Comparisons: w.compared,
	}
	counts, err := l.Deployment.counts(ctx)
	if err != nil {
		return r, err
	}
	runs, err := l.Deployment.runs(ctx)
	if err != nil {
		return r, err
	}
	for _, h := range slices.Sorted(maps.Keys(w.undecided)) {
		r.violate("C1", "%s is held and not in the committed record", h)
	}
	if counts.overcommits > 0 {
		r.violate("C2", "%d memory overcommits", counts.overcommits)
	}
	if counts.keys > 0 {
		r.violate("C4", "%d requests reached an endpoint with a key", counts.keys)
	}
	for _, s := range r.Samples {
		r.check(s, l.IsStrict, l.balancer.failed)
	}
	for _, p := range CustomerProfiles {
		if n := p.Limit.excess(r.grants(p.Customer)); n > 0 {
			r.violate("C5", "%s got %d tokens beyond burst + rate x time", p.Customer, n)
		}
	}
	for _, p := range r.Payments {
		if wrong := p.wrong(runs[p.ID]); wrong != "" {
			r.violate("C7/C8", "%s", wrong)
		}
		if l.IsStrict && !p.IsPaid() {
			r.violate("C10", "payment %s was not answered: %s", p.ID, describe(p.Attempts[len(p.Attempts)-1]))
		}
	}
	return r, nil
}

func (r *Report) violate(condition, format string, args ...any) {
	r.Violations = append(r.Violations, condition+": "+fmt.Sprintf(format, args...))
}

// check compares one request with the conditions. Failed reports whether a VM answered no readiness check
// between two times, which excuses what a dead or frozen VM does.
func (r *Report) check(s Sample, strict bool, failed func(vm int, from, until time.Time) bool) {
	limited := s.Code == "rate_limited"
	excused := s.VM >= 0 && failed(s.VM, s.SentAt, s.EndedAt)
	switch {
	case s.Result == ResultTruncated:
		r.violate("C6", "%s", describe(s))
	case strict && s.Result != ResultAnswered && !limited:
		r.violate("C10", "%s", describe(s))
	case s.Result == ResultCut && !excused:
		r.violate("C6", "%s at a VM that answers", describe(s))
	case s.VM >= 0 && !excused && s.HeaderAt.Sub(s.SentAt) > requestDeadline+lateSlack:
		r.violate("C3", "%s after %s", describe(s), s.HeaderAt.Sub(s.SentAt).Round(time.Millisecond))
	}
}

func describe(s Sample) string {
	text := fmt.Sprintf("request of %s at VM %d, sent %s, %s", s.Customer, s.VM+1, s.SentAt.Format("15:04:05.000"), s.Result)
	if s.Code != "" {
		text += " with " + s.Code + " (" + s.Outcome + ")"
	}
	if s.Err != nil {
		text += ": " + s.Err.Error()
	}
	return text
}

// grants returns the tokens that were admitted for the customer.
func (r *Report) grants(customer string) []grant {
	var out []grant
	for _, s := range r.Samples {
		if s.Customer == customer && s.Tokens > 0 {
			out = append(out, grant{s.SentAt, s.HeaderAt, s.Tokens})
		}
	}
	return out
}

// gap returns the longest time without an answer for customers within their limit, and when it began.
func (r *Report) gap() (time.Duration, time.Time) {
	ends := []time.Time{r.StartedAt, r.EndedAt}
	for _, s := range r.Samples {
		if s.Result == ResultAnswered && s.Customer != OverLimitCustomer {
			ends = append(ends, s.EndedAt)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	longest, at := time.Duration(0), r.StartedAt
	for i := 1; i < len(ends); i++ {
		if d := ends[i].Sub(ends[i-1]); d > longest && !ends[i].After(r.EndedAt) {
			longest, at = d, ends[i-1]
		}
	}
	return longest, at
}

// outcomes counts the requests of a customer by result and code.
func (r *Report) outcomes(customer string) map[string]int {
	out := make(map[string]int)
	for _, s := range r.Samples {
		if s.Customer != customer {
			continue
		}
		name := s.Result.String()
		if s.Code != "" {
			name += " " + s.Code + " (" + s.Outcome + ")"
		}
		out[name]++
	}
	return out
}

// limited returns the refusals for the rate of customers within it.
func (r *Report) limited() int {
	n := 0
	for _, s := range r.Samples {
		if s.Code == "rate_limited" && s.Customer != OverLimitCustomer {
			n++
		}
	}
	return n
}

// Print writes a table, the violations and a last line of figures.
func (r *Report) Print(w io.Writer) {
	say := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	for _, p := range CustomerProfiles {
		out := r.outcomes(p.Customer)
		for _, name := range slices.Sorted(maps.Keys(out)) {
			say("%-16s %6d %s", p.Customer, out[name], name)
		}
		if n := p.Limit.excess(r.grants(p.Customer)); n != -p.Limit.Burst {
			say("%-16s %6d tokens beyond its limit over the worst interval", p.Customer, n)
		}
	}
	for _, s := range r.Samples {
		if s.Result != ResultAnswered && s.Code != "rate_limited" {
			say("  %s", describe(s))
		}
	}
	for _, p := range r.Payments {
		if len(p.Attempts) > 1 || !p.IsPaid() {
			say("  payment %s, attempt %d: %s", p.ID, len(p.Attempts), describe(p.Attempts[len(p.Attempts)-1]))
		}
	}
	say("the second with the most platform writes: %v", r.CallsByKind)
	for _, v := range r.Violations {
		say("VIOLATION %s", v)
	}
	say("%s", r.line())
}

// line sums the report up.
func (r *Report) line() string {
	n := make(map[Result]int)
	refused := make(map[string]int)
	for _, s := range r.Samples {
		n[s.Result]++
		if s.Result == ResultRefused && s.Code != "rate_limited" {
			refused[s.Code+"/"+s.Outcome]++
		}
	}
	others := make([]string, 0, len(refused))
	for _, code := range slices.Sorted(maps.Keys(refused)) {
		others = append(others, fmt.Sprintf("%s=%d", code, refused[code]))
	}
	paid, retried := 0, 0
	for _, p := range r.Payments {
		if p.IsPaid() {
			paid++
		}
		if len(p.Attempts) > 1 {
			retried++
		}
	}
	gap, at := r.gap()
	return fmt.Sprintf("answered=%d refused=[%s] limited-within-rate=%d cut=%d ended=%d unreached=%d gap=%s at +%s"+
		" payments=%d paid=%d retried=%d platform-peak=%d reads/s %d writes/s compared=%d violations=%d",
		n[ResultAnswered], strings.Join(others, " "), r.limited(), n[ResultCut], n[ResultEnded], n[ResultUnreached],
		gap.Round(time.Millisecond), at.Sub(r.StartedAt).Round(100*time.Millisecond),
		len(r.Payments), paid, retried, r.PeakReads, r.PeakWrites, r.Comparisons, len(r.Violations))
}
