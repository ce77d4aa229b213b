package place

import "fmt"

// RefusalCode says what kind of reason a refusal has.
type RefusalCode string

// The kinds of refusals.
const (
	UnknownWorkspace RefusalCode = "unknown-workspace"
	QueueFull        RefusalCode = "queue-full"
	OverQuota        RefusalCode = "over-quota"
	ImpossibleShape  RefusalCode = "impossible-shape"
	AllGuaranteed    RefusalCode = "all-guaranteed"
)

// Refusal is why a job can't be taken.
type Refusal struct {
	Code   RefusalCode
	Reason string
}

func refusal(code RefusalCode, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Reason: fmt.Sprintf(format, args...)}
}
