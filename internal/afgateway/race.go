package afgateway

import "slices"

const (
	// maxLiveAttempts bounds the attempts of one request that are live at once.
	maxLiveAttempts = maxTotalAttempts
	// maxExpectedAttempts bounds those that are not hung, so that the answer of each can still be expected.
	maxExpectedAttempts = 2
)

// attemptID identifies an attempt of one request. Zero is no attempt.
type attemptID int

// racer is one live attempt.
type racer struct {
	id attemptID
	// isSent means that bytes of the request may have been sent. Before, the attempt holds a place at its endpoint and, unless it is
	// the first of the request, a retry of the budget.
	isSent bool
	// isSilent means that the endpoint has sent nothing for too long, and isHung that it has for longer than a sound one ever does.
	isSilent, isHung bool
}

// race decides which of the live attempts of a request answers the caller. An attempt at a silent endpoint stays live until
// another one has spoken, which means that it has a part of the answer for the caller: a sound endpoint may be silent for a
// second, and another one may refuse. That holds for hung endpoints too, beside which more attempts are made. A race is immutable: its
// methods return the next one with what has to be done.
type race struct {
	racers [maxLiveAttempts]racer
	// lastID is the ID of the latest attempt.
	lastID attemptID
	// isSeeking means that the request waits for a place for another attempt.
	isSeeking bool
	// isOver means that the request needs no attempt any more.
	isOver bool
}

// raceEffects is what has to be done after an event.
type raceEffects struct {
	// seek and stopSeeking begin and end the wait for a place.
	seek, stopSeeking bool
	// started is an attempt that begins with the place that was found.
	started attemptID
	// unneededPlace means that the place that was found, with its retry, is given back.
	unneededPlace bool
	// closed are attempts whose connection is closed. Their places are given back, and the retries of those that were not sent. The
	// entries without an ID are unused.
	closed [maxLiveAttempts]racer
	// isRejected means that the attempt of the event is not live any more and must do nothing.
	isRejected bool
}

// find returns the index of a live attempt, or -1.
func (r race) find(id attemptID) int {
	for i, racer := range r.racers {
		if id != 0 && racer.id == id {
			return i
		}
	}
	return -1
}

// liveCount returns the number of live attempts.
func (r race) liveCount() int {
	n := 0
	for _, racer := range r.racers {
		if racer.id != 0 {
			n++
		}
	}
	return n
}

// withFirst begins an attempt that is sent at once, while no other one is live.
func (r race) withFirst() (race, attemptID) {
	r.lastID++
	r.racers = [maxLiveAttempts]racer{{id: r.lastID, isSent: true}}
	r.isSeeking = false
	return r, r.lastID
}

// withSilence records that an attempt has got nothing for too long. Another one is sought if all live attempts are silent, at most one
// of them is not hung and the request may be sent once more.
func (r race) withSilence(id attemptID, isHung, mayRepeat bool) (race, raceEffects) {
	i := r.find(id)
	if i < 0 || !r.racers[i].isSent {
		return r, raceEffects{isRejected: true}
	}
	r.racers[i].isSilent, r.racers[i].isHung = true, r.racers[i].isHung || isHung
	if r.isOver || r.isSeeking || !mayRepeat || r.freeSlot() < 0 {
		return r, raceEffects{}
	}
	expected := 0
	for _, racer := range r.racers {
		if racer.id != 0 && !racer.isSilent {
			return r, raceEffects{}
		}
		if racer.id != 0 && !racer.isHung {
			expected++
		}
	}
	if expected >= maxExpectedAttempts {
		return r, raceEffects{}
	}
	r.isSeeking = true
	return r, raceEffects{seek: true}
}

// freeSlot returns the index in racers for one more attempt, or -1 if there is none.
func (r race) freeSlot() int {
	return slices.IndexFunc(r.racers[:], func(racer racer) bool { return racer.id == 0 })
}

// withPlace begins an attempt with the place that was found.
func (r race) withPlace() (race, raceEffects) {
	slot := r.freeSlot()
	if !r.isSeeking || r.isOver || slot < 0 {
		return r, raceEffects{unneededPlace: true}
	}
	r.isSeeking = false
	r.lastID++
	r.racers[slot] = racer{id: r.lastID}
	return r, raceEffects{started: r.lastID}
}

// withSend records that an attempt is about to be sent.
func (r race) withSend(id attemptID) (race, raceEffects) {
	i := r.find(id)
	if i < 0 {
		return r, raceEffects{isRejected: true}
	}
	r.racers[i].isSent = true
	return r, raceEffects{}
}

// withSpeech records that an attempt has a part of the answer for the caller. The other live attempts are closed.
func (r race) withSpeech(id attemptID) (race, raceEffects) {
	i := r.find(id)
	if i < 0 || !r.racers[i].isSent {
		return r, raceEffects{isRejected: true}
	}
	effects := raceEffects{stopSeeking: r.isSeeking}
	r.isSeeking = false
	effects.closed = r.racers
	effects.closed[i] = racer{}
	r.racers = [maxLiveAttempts]racer{}
	r.racers[i] = racer{id: id, isSent: true}
	return r, effects
}

// withEnd removes an attempt that has ended by itself. The effects name it as closed, so that its place is given back.
func (r race) withEnd(id attemptID) (race, raceEffects) {
	i := r.find(id)
	if i < 0 {
		return r, raceEffects{isRejected: true}
	}
	effects := raceEffects{}
	effects.closed[0] = r.racers[i]
	r.racers[i] = racer{}
	if r.liveCount() == 0 {
		// The request goes on with an attempt that takes its turn among the waiting requests.
		effects.stopSeeking = r.isSeeking
		r.isSeeking = false
	}
	return r, effects
}

// withOver ends the race: the request was answered, its caller left, its deadline passed or the process stops.
func (r race) withOver() (race, raceEffects) {
	effects := raceEffects{stopSeeking: r.isSeeking, closed: r.racers}
	r.isSeeking, r.isOver, r.racers = false, true, [maxLiveAttempts]racer{}
	return r, effects
}
