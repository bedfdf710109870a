package afslope

import (
	"context"
	"io"
)

func measureEndpoints(context.Context, io.Writer, Config) error { return nil }
