package hosted

import (
	"context"
	"io"

	settings "github.com/mulberryspool/mulberryspool/internal/settings/hosted"
)

// Agent runs the agent role until the context ends.
func Agent(ctx context.Context, _ string, _ settings.Settings, _ io.Writer) error {
	<-ctx.Done()
	return nil
}
