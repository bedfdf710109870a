package afexample

import (
	"math"
	"math/rand/v2"

	"arbutusfork.example/arbutusfork"
)

// dayPeriod is a period of the day, in minutes after midnight UTC.
type dayPeriod struct {
	startMinute, endMinute int
}

// dayPeriods divides a day so that the morning and evening peaks have separate rows in the demand sheet.
var dayPeriods = []dayPeriod{
	{0, 5 * 60},
	{5 * 60, 7 * 60},
	{7 * 60, 10 * 60},
	{10 * 60, 14 * 60},
	{14 * 60, 16 * 60},
	{16 * 60, 20 * 60},
	{20 * 60, 24 * 60},
}

// modelUse describes the demand for one family of models.
type modelUse struct {
	name string
	// peakRequestsPerHour is the demand for all models by all customers together in the busiest period.
	peakRequestsPerHour float64
	// peakRatios holds the demand in each period of the day as a fraction of the peak.
	peakRatios []float64
	// minTokens and maxTokens limit the tokens of a request.
	minTokens, maxTokens int64
}

const (
	// popularityExponent makes a model's popularity its rank to the power of -popularityExponent, so that a few models get
	// most requests.
	popularityExponent = 2.4
	// modelChoiceDivisor makes each customer use one in modelChoiceDivisor models of a family.
	modelChoiceDivisor = 2
	// rareRequestsPerHour is the peak rate below which a model gets requests in only one or two periods of the day.
	rareRequestsPerHour = 6
	// minRequestsPerHour is the rate below which a row is left out of the demand sheet.
	minRequestsPerHour = 0.4
	// adapterDemandRatio is the fraction of a customer's demand for a use that goes to the customer's adapters.
	adapterDemandRatio = 0.35
)

// newDemandSheet returns a demand sheet that divides the demand of each use among models by popularity and among
// customers by rate.
func newDemandSheet(r *rand.Rand, uses []modelUse, models []arbutusfork.Model, customers []arbutusfork.Customer) arbutusfork.DemandSheet {
	var totalRate float64
	for _, c := range customers {
		totalRate += float64(c.RatePerSecond)
	}
	var out arbutusfork.DemandSheet
	for _, u := range uses {
		var bases, adapters []arbutusfork.Model
		for _, m := range models {
			if len(modelNames([]arbutusfork.Model{m}, u.name)) == 0 {
				continue
			}
			if m.IsAdapter() {
				adapters = append(adapters, m)
			} else {
				bases = append(bases, m)
			}
		}
		for _, c := range customers {
			customerPeak := u.peakRequestsPerHour * float64(c.RatePerSecond) / totalRate
			out.Rows = append(out.Rows, u.newRows(r, c.Name, bases, customerPeak*(1-adapterDemandRatio))...)
			out.Rows = append(out.Rows, u.newRows(r, c.Name, adaptersOf(adapters, c.Name), customerPeak*adapterDemandRatio)...)
		}
	}
	return out
}

// adaptersOf returns the adapters of the customer.
func adaptersOf(models []arbutusfork.Model, customer string) []arbutusfork.Model {
	var out []arbutusfork.Model
	for _, m := range models {
		if _, adapter := arbutusfork.SplitModelName(m.Name); adapter == customer {
			out = append(out, m)
		}
	}
	return out
}

// newRows returns the rows of one customer. The popularity ranks of the models are random for each customer.
func (u modelUse) newRows(r *rand.Rand, customer string, models []arbutusfork.Model, customerPeak float64) []arbutusfork.DemandSheetRow {
	var (
		out         []arbutusfork.DemandSheetRow
		totalWeight float64
	)
	ranks := r.Perm(len(models))
	chosenCount := (len(models) + modelChoiceDivisor - 1) / modelChoiceDivisor
	for i := range chosenCount {
		totalWeight += math.Pow(float64(i+1), -popularityExponent)
	}
	for i, m := range models {
		if ranks[i] >= chosenCount {
			continue
		}
		peakRate := customerPeak * math.Pow(float64(ranks[i]+1), -popularityExponent) / totalWeight
		tokens := u.minTokens + r.Int64N(u.maxTokens-u.minTokens+1)
		activePeriod := r.IntN(len(dayPeriods))
		for j, p := range dayPeriods {
			requests := roundToTenth(peakRate * u.peakRatios[j] * (0.85 + 0.3*r.Float64()))
			if peakRate < rareRequestsPerHour && j != activePeriod && j != (activePeriod+2)%len(dayPeriods) {
				continue
			}
			if requests < minRequestsPerHour {
				continue
			}
			out = append(out, arbutusfork.DemandSheetRow{
				Model: m.Name, Customer: customer, StartMinute: p.startMinute, EndMinute: p.endMinute, RequestsPerHour: requests, TokensPerRequest: tokens,
			})
		}
	}
	return out
}
