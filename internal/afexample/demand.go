package afexample

import (
	"math"
	"math/rand/v2"

	"arbutusfork.example/arbutusfork"
)

// period is a part of the day, in minutes after midnight UTC.
type period struct {
	from, until int
}

// day splits a day so that the morning and evening peaks have rows of their own.
var day = []period{
	{0, 5 * 60},
	{5 * 60, 7 * 60},
	{7 * 60, 10 * 60},
	{10 * 60, 14 * 60},
	{14 * 60, 16 * 60},
	{16 * 60, 20 * 60},
	{20 * 60, 24 * 60},
}

// use is the demand for one family of models.
type use struct {
	name string
	// peak is the requests per hour of all models and customers together in the busiest period.
	peak float64
	// shape is the part of the peak in each period of the day.
	shape []float64
	// low and high bound the tokens per request.
	low, high int64
}

const (
	// Popularity falls with the power of the rank, so that a few models get most requests.
	popularity = 2.4
	// Each customer uses one in so many models of a family.
	choice = 2
	// Below this rate a model is not used in every period; it wakes in one or two of them.
	rare = 6
	// A rarer demand is left out of the sheet.
	least = 0.4
	// A customer's own adapters get this part of its demand for the use.
	adapted = 0.35
)

// sheet spreads the demand of each use over models by popularity and over customers by rate.
func sheet(r *rand.Rand, uses []use, models []arbutusfork.Model, customers []arbutusfork.Customer) arbutusfork.DemandSheet {
	var rates float64
	for _, c := range customers {
		rates += float64(c.RatePerSecond)
	}
	var out arbutusfork.DemandSheet
	for _, u := range uses {
		var bases, own []arbutusfork.Model
		for _, m := range models {
			if len(names([]arbutusfork.Model{m}, u.name)) == 0 {
				continue
			}
			if m.IsAdapter() {
				own = append(own, m)
			} else {
				bases = append(bases, m)
			}
		}
		for _, c := range customers {
			part := u.peak * float64(c.RatePerSecond) / rates
			out.Rows = append(out.Rows, u.rows(r, c.Name, bases, part*(1-adapted))...)
			out.Rows = append(out.Rows, u.rows(r, c.Name, ownAdapters(own, c.Name), part*adapted)...)
		}
	}
	return out
}

func ownAdapters(models []arbutusfork.Model, customer string) []arbutusfork.Model {
	var out []arbutusfork.Model
	for _, m := range models {
		if _, adapter := arbutusfork.SplitModelName(m.Name); adapter == customer {
			out = append(out, m)
		}
	}
	return out
}

// rows returns the rows of one customer. Each customer prefers other models.
func (u use) rows(r *rand.Rand, customer string, models []arbutusfork.Model, peak float64) []arbutusfork.DemandSheetRow {
	var (
		out   []arbutusfork.DemandSheetRow
		total float64
	)
	ranks := r.Perm(len(models))
	chosen := (len(models) + choice - 1) / choice
	for i := range chosen {
		total += math.Pow(float64(i+1), -popularity)
	}
	for i, m := range models {
		if ranks[i] >= chosen {
			continue
		}
		rate := peak * math.Pow(float64(ranks[i]+1), -popularity) / total
		tokens := u.low + r.Int64N(u.high-u.low+1)
		awake := r.IntN(len(day))
		for j, p := range day {
			requests := round(rate * u.shape[j] * (0.85 + 0.3*r.Float64()))
			if rate < rare && j != awake && j != (awake+2)%len(day) {
				continue
			}
			if requests < least {
				continue
			}
			out = append(out, arbutusfork.DemandSheetRow{
				Model: m.Name, Customer: customer, StartMinute: p.from, EndMinute: p.until, RequestsPerHour: requests, TokensPerRequest: tokens,
			})
		}
	}
	return out
}
