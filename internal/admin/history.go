package admin

import (
	"fmt"
	"strings"
	"time"

	"greengageline/pkg/model"
)

// JobHistory returns a job's history as lines of text: its specification, whether it must
// not run twice, the state changes that are still kept with it, and, as far as there are
// any, its last recorded attempt, the workers on which it failed, and the size and checksum
// of its answer.
func JobHistory(j model.Job) []string {
	lines := []string{fmt.Sprintf("job %s of workspace %s: %d tasks of %d accelerators, key %q, accepted under generation %d",
		j.ID, j.Spec.Workspace, j.Spec.Shape.Tasks, j.Spec.Shape.Each, j.Spec.Key, j.Generation)}
	if !j.Spec.Idempotent {
		lines = append(lines, "it must not run twice: once an attempt may have started, it is never sent again")
	}
	for _, n := range j.Notes {
		at := time.UnixMilli(n.AtMs).UTC().Format("2006-01-02 15:04:05.000")
		lines = append(lines, fmt.Sprintf("%s  %-9s %s", at, n.State, n.Reason))
	}
	if len(j.Members) > 0 {
		lines = append(lines, fmt.Sprintf("last attempt %d (%s%s) on %s", j.Attempt, j.Mode, claimText(j), memberList(j)))
	}
	if len(j.FailedOn) > 0 {
		lines = append(lines, "it failed on "+strings.Join(j.FailedOn, ", "))
	}
	if j.Answer != nil {
		lines = append(lines, fmt.Sprintf("its answer has %d bytes, checksum %016x", j.Answer.Length, j.Answer.Sum))
	}
	return lines
}

// claimText names the guaranteed share (model.Job.Claim) that the last attempt used, or
// returns "" if it used none.
func claimText(j model.Job) string {
	if j.Claim == "" {
		return ""
	}
	return " share " + j.Claim
}

func memberList(j model.Job) string {
	var parts []string
	for _, m := range j.Members {
		parts = append(parts, fmt.Sprintf("%s (%d)", m.Worker, m.Tasks))
	}
	return strings.Join(parts, ", ")
}
