package afobject

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/pkg/afversion"
)

// defaultEraHeader is the header with the era of the platform's store in each answer.
const defaultEraHeader = "Store-Era"

// EraChange is a change in what the platform's answers say about the era of its store.
type EraChange struct {
	// Previous and Current are the highest known eras before and after the change.
	Previous, Current int64
	// Problem says what is wrong with the era of an answer, which was ignored. It is empty if the era is sound again or rose.
	Problem string
}

// eraTracker keeps the highest era that an answer named. The zero value is ready to use.
type eraTracker struct {
	mu sync.Mutex
	// isKnown means that an answer has named an era. Answers without an era are ignored from then on.
	isKnown bool
	era     int64
	// problem is the problem of the latest answer, or empty.
	problem string
}

// current returns the highest known era, or zero.
func (t *eraTracker) current() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// record applies the values of the era's header in an answer. It returns the era of the answer, and what has changed or nil.
// The error means that the answer is of an earlier or an unknown era, so that it says nothing about the store as it is now.
func (t *eraTracker) record(values []string) (era int64, change *EraChange, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	era, err = parseEra(values)
	switch {
	case len(values) == 0 && !t.isKnown:
		return 0, nil, nil
	case len(values) == 0:
		err = errors.New("the era is missing")
	case err == nil && era < t.era:
		err = errors.Errorf("era %d is over", era)
	}
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	isFirst := !t.isKnown
	previous := t.era
	if err == nil {
		t.isKnown, t.era = true, era
	}
	if problem != t.problem || t.era > previous && !isFirst {
		change = &EraChange{Previous: previous, Current: t.era, Problem: problem}
	}
	t.problem = problem
	return era, change, err
}

// parseEra parses the values of the era's header.
func parseEra(values []string) (int64, error) {
	if len(values) == 0 {
		return 0, nil
	}
	if len(values) > 1 {
		return 0, errors.Errorf("%d eras in one answer", len(values))
	}
	era, err := strconv.ParseInt(values[0], 10, 64)
	if err != nil || era < 0 || era > afversion.MaxEra {
		return 0, errors.Errorf("malformed era %.20q", values[0])
	}
	return era, nil
}

// Era returns the highest era of the platform's store that an answer named, or zero.
func (c *Client) Era() int64 { return c.eras.current() }

// recordEra applies the era of an answer with that status and returns it. It fails if the answer must be ignored.
func (c *Client) recordEra(status int, h http.Header) (int64, error) {
	values := h.Values(c.Dialect.eraHeaderOrDefault())
	if len(values) == 0 && (status == http.StatusTooManyRequests || status >= http.StatusInternalServerError) {
		// Something before the store may have sent the refusal, which is not about the state of an object.
		return c.eras.current(), nil
	}
	era, change, err := c.eras.record(values)
	if change != nil && c.OnEraChange != nil {
		c.OnEraChange(*change)
	}
	return era, err
}

// withEra returns the object with its revision replaced by its version in the era.
func withEra(o Object, era int64) (Object, error) {
	version, err := afversion.Join(era, o.Version)
	o.Version = version
	return o, err
}

// checkBasis fails with VersionConflict if the version on which the call depends is of an era that is over. The revision may
// have been given out again since, so that the platform can't tell.
func (c *Client) checkBasis(k call) error {
	if k.basis != 0 && afversion.Era(k.basis) < c.eras.current() {
		return k.newError(k.basisErrorKind(), errors.Errorf("the version is of era %d, which is over", afversion.Era(k.basis)))
	}
	return nil
}

// checkAnswerEra fails if the version on which the call depends is of another era than the answer. A write may have replaced
// an object that the caller has never seen.
func (k call) checkAnswerEra(era int64) error {
	if k.basis == 0 || afversion.Era(k.basis) == era {
		return nil
	}
	err := errors.Errorf("the answer is of era %d, the version of era %d", era, afversion.Era(k.basis))
	if k.isWrite() {
		return k.lostAnswerError(err)
	}
	return k.newError(k.basisErrorKind(), err)
}

// basisErrorKind returns the kind of error of a call whose basis is of another era.
func (k call) basisErrorKind() ErrorKind {
	if k.isWrite() {
		return VersionConflict
	}
	return VersionExpired
}
