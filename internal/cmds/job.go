package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/pkg/client"
	"greengageline/pkg/model"
)

// jobCallTimeout limits one call about a job.
const jobCallTimeout = 15 * time.Second

// withJobID returns the Exec function of a subcommand that takes one job id. action runs
// with a timeout of jobCallTimeout.
func withJobID(action func(ctx context.Context, id string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		id, err := oneArg(args, "job id")
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, jobCallTimeout)
		defer cancel()
		return action(ctx, id)
	}
}

func (a *app) job() *ffcli.Command {
	return group("job", "ask about jobs, wait for them, cancel them",
		a.jobStatus(), a.jobWait(), a.jobCancel(), a.jobAnswer())
}

func (a *app) jobStatus() *ffcli.Command {
	fs := a.clientFlags("status")
	return command("status", "job status [flags] ID", "print a job's state",
		"Example:\n  greengageline job status -json viti.0199-...", fs,
		withJobID(func(ctx context.Context, id string) error {
			job, err := a.client().Job(ctx, id)
			if err != nil {
				return err
			}
			return a.print(job, func() string { return jobText(job) })
		}))
}

func jobText(j model.Job) string {
	line := fmt.Sprintf("%s %s", j.ID, j.State)
	if n := len(j.Notes); n > 0 {
		line += ": " + j.Notes[n-1].Reason
	}
	var workers []string
	for _, m := range j.Members {
		workers = append(workers, m.Worker)
	}
	if len(workers) > 0 && !j.State.Final() {
		line += " on " + strings.Join(workers, ",")
	}
	return line
}

func (a *app) jobWait() *ffcli.Command {
	fs := a.clientFlags("wait")
	timeout := fs.Duration("timeout", time.Hour, "how long to wait")
	return command("wait", "job wait [flags] ID", "wait for a job's end",
		"Exits 0 if it is done, 3 if it was refused, 4 if it may have run, else 1.\n\nExample:\n  greengageline job wait -timeout 10m viti.0199-...", fs,
		func(ctx context.Context, args []string) error {
			id, err := oneArg(args, "job id")
			if err != nil {
				return err
			}
			return a.waitFor(ctx, id, *timeout)
		})
}

// waitFor waits up to timeout for the job to end, prints it and returns nil only if it is
// done. If the wait ends early, it prints the last known state.
func (a *app) waitFor(ctx context.Context, id string, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	job, err := a.client().Wait(ctx, id)
	if err != nil && job.ID == "" {
		return err
	}
	if err := a.print(job, func() string { return jobText(job) }); err != nil {
		return err
	}
	switch job.State {
	case model.Done:
		return nil
	case model.Refused:
		return &client.Problem{Kind: "refused", Message: "the job did not run", Ran: "no", Next: "see greengageline explain"}
	case model.Unknown:
		return &client.Problem{Kind: "unknown", Message: "the job may have run", Ran: "unknown", Next: "see greengageline explain"}
	}
	return fmt.Errorf("job is %s", job.State)
}

func (a *app) jobCancel() *ffcli.Command {
	fs := a.clientFlags("cancel")
	return command("cancel", "job cancel [flags] ID", "cancel a job",
		"Its end and the cancel race; exactly one wins, and job wait tells which.\n\nExample:\n  greengageline job cancel viti.0199-...", fs,
		withJobID(func(ctx context.Context, id string) error {
			job, err := a.client().Cancel(ctx, id)
			if err != nil {
				return err
			}
			return a.print(job, func() string { return jobText(job) })
		}))
}

func (a *app) jobAnswer() *ffcli.Command {
	fs := a.clientFlags("answer")
	return command("answer", "job answer [flags] ID", "print a done job's answer",
		"Example:\n  greengageline job answer viti.0199-... > proof.svg", fs,
		withJobID(func(ctx context.Context, id string) error {
			data, err := a.client().Answer(ctx, id)
			if err != nil {
				return err
			}
			_, err = a.out.Write(data)
			return err
		}))
}
