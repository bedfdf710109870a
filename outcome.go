package arbutusfork

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome says whether an endpoint ran a call, as far as this is known.
type Outcome int

// The outcomes of a call.
const (
	// OutcomeAnswered means that the endpoint answered.
	OutcomeAnswered Outcome = iota // answered
	// OutcomeNotRun means that no byte of the call can have reached an endpoint, or that the endpoint answered that it did
	// not run the call.
	OutcomeNotRun // not run
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown // unknown
)
