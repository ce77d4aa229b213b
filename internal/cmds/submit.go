package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/pkg/model"
)

const submitHelp = `Submits a job and prints its id. The payload is read from -payload, or from
standard input if that is "-". A repeat with the same -key is the same job.

Example:
  greengageline submit -workspace proofs -tasks 4 -each 8 -estimate 2h -idempotent -payload job.json`

func (a *app) submit() *ffcli.Command {
	fs := a.clientFlags("submit")
	var s model.JobSpec
	fs.StringVar(&s.Workspace, "workspace", "", "workspace that the job belongs to")
	fs.StringVar(&s.Key, "key", "", "idempotency key; made up and printed if empty")
	fs.StringVar(&s.Class, "class", "", "kind of work, for learning run times")
	fs.IntVar(&s.Shape.Tasks, "tasks", 1, "tasks of the gang")
	fs.IntVar(&s.Shape.Each, "each", 1, "accelerators for each task")
	fs.BoolVar(&s.Urgent, "urgent", false, "start before all other work")
	fs.BoolVar(&s.Idempotent, "idempotent", false, "the job may be run again")
	fs.BoolVar(&s.Checkpoint, "checkpoint", false, "the job can be checkpointed")
	estimate := fs.Duration("estimate", time.Hour, "declared run time")
	deadline := fs.Duration("deadline", 0, "time after which it need not start; 0 is none")
	payload := fs.String("payload", "", "file with the payload, or - for standard input")
	wait := fs.Duration("wait", 0, "wait this long for the job's end")
	timeout := fs.Duration("timeout", 30*time.Second, "how long to try to have the job accepted")
	return command("submit", "submit -workspace NAME [flags]", "submit a job", submitHelp, fs,
		func(ctx context.Context, _ []string) error {
			s.EstimateMs, s.DeadlineMs = estimate.Milliseconds(), deadline.Milliseconds()
			if s.Key == "" {
				s.Key = uuid.NewString()
			}
			data, err := a.payload(*payload)
			if err != nil {
				return err
			}
			s.Payload = data
			if err := s.Check(); err != nil {
				return err
			}
			return a.runSubmit(ctx, s, *timeout, *wait)
		})
}

// payload reads the payload from the named file, from standard input if name is "-", or
// returns none if name is empty. Of standard input it reads at most one byte more than
// model.MaxPayload, so that the check of the job rejects a larger payload.
func (a *app) payload(name string) ([]byte, error) {
	switch name {
	case "":
		return nil, nil
	case "-":
		data, err := io.ReadAll(io.LimitReader(a.in, model.MaxPayload+1))
		if err != nil {
			return nil, fmt.Errorf("read payload: %w", err)
		}
		return data, nil
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("read payload: %w", err)
	}
	return data, nil
}

func (a *app) runSubmit(ctx context.Context, s model.JobSpec, timeout, wait time.Duration) error {
	tryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	job, err := a.client().Submit(tryCtx, s)
	if err != nil {
		return fmt.Errorf("key %s: %w", s.Key, err)
	}
	if wait > 0 {
		return a.waitFor(ctx, job.ID, wait)
	}
	return a.print(job, func() string {
		return fmt.Sprintf("%s %s (key %s)", job.ID, job.State, s.Key)
	})
}
