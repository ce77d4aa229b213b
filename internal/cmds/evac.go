package cmds

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"greengageline/internal/config"
)

func (a *app) evacuate() *ffcli.Command {
	fs := a.clientFlags("evacuate")
	author := fs.String("author", os.Getenv("USER"), "who makes the request")
	off := fs.Bool("off", false, "withdraw the request")
	return command("evacuate", "evacuate [flags] [ZONE]", "start nothing more in a zone, or list the evacuated zones",
		"Nothing more starts in the zone until the request is withdrawn with -off; what runs there goes on.\n"+
			"All nodes apply it within fresh_bound. Without a zone, prints the zones that are evacuated.\n\n"+
			"Example:\n  greengageline evacuate -nodes 10.0.0.1:7000 suva", fs,
		func(ctx context.Context, args []string) error {
			list := []config.Evacuation{}
			if len(args) == 0 && !*off {
				if err := a.client().Do(ctx, http.MethodGet, "/v1/evacuations", nil, &list); err != nil {
					return err
				}
				return a.print(list, func() string { return evacuationText(list) })
			}
			zone, err := oneArg(args, "zone")
			if err != nil {
				return err
			}
			in := config.Evacuation{Zone: zone, Author: *author, Withdrawn: *off}
			if err := a.client().Do(ctx, http.MethodPost, "/v1/evacuations", in, &list); err != nil {
				return err
			}
			return a.print(list, func() string { return evacuationText(list) })
		})
}

func evacuationText(list []config.Evacuation) string {
	if len(list) == 0 {
		return "no zone is evacuated"
	}
	var b strings.Builder
	for _, e := range list {
		fmt.Fprintf(&b, "%s evacuated by %s at %s\n", e.Zone, e.Author, time.UnixMilli(e.AtMs).UTC().Format(time.RFC3339))
	}
	return b.String()
}
