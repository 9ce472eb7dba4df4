package logging

import (
	"bytes"
	stdlog "log"

	"github.com/rs/zerolog"
)

// Std returns a logger of the standard library for an http.Server, whose lines become events of the named listener: a panic
// is an error, and everything else, such as a failed handshake, which any stranger can cause, is told at the debug level.
func Std(log zerolog.Logger, listener string) *stdlog.Logger {
	return stdlog.New(lineWriter{log.With().Str("listener", listener).Logger()}, "", 0)
}

type lineWriter struct{ log zerolog.Logger }

// Write logs one line.
func (w lineWriter) Write(p []byte) (int, error) {
	level := zerolog.DebugLevel
	if bytes.Contains(p, []byte("panic")) {
		level = zerolog.ErrorLevel
	}
	w.log.WithLevel(level).Bytes("detail", bytes.TrimSpace(p)).Msg("http server")
	return len(p), nil
}
