package shared

import "time"

// Wrong is a mistake on purpose, so that checks can be seen to find it. Nothing that is configured sets one.
type Wrong uint8

// The mistakes.
const (
	Right        Wrong = iota
	LenderClock        // a borrower judges its lease by the time that the lender's clock showed
	TakesSilent        // a lender takes back what it lent to one that it does not hear
	AppliesTwice       // a grant that comes twice counts twice
	KeepsRights        // what was borrowed is held for good
	CountsTwice        // counts that are heard are added to those that are known
	BelievesOne        // one agent is believed, whoever it is and whatever others say
)

// Mistakes are those about rights, by name.
var Mistakes = map[string]Wrong{"lender-clock": LenderClock, "takes-silent": TakesSilent, "applies-twice": AppliesTwice, "keeps-rights": KeepsRights}

// Flaws are those that processes are started with, by name.
var Flaws = map[string]Wrong{"takes-silent": TakesSilent, "keeps-rights": KeepsRights, "counts-twice": CountsTwice, "believes-one": BelievesOne}

// NewWrongValue returns a value that makes a mistake.
func NewWrongValue(self Agent, t Terms, now time.Duration, w Wrong) *Value {
	v := NewValue(self, t, now)
	v.wrong = w
	return v
}

// NewWrong returns a holder that makes a mistake.
func NewWrong(self Agent, b Budget, now time.Duration, w Wrong) *Holder {
	h := NewHolder(self, b, now)
	h.wrong = w
	return h
}
