package logging

import (
	"bytes"
	stdlog "log"

	"github.com/rs/zerolog"
)

// Std returns a standard library logger for the http.Server of the named listener. Lines that report a panic are logged at the
// error level. All others are logged at the debug level, since any client can cause them, for example by a failed handshake.
func Std(log zerolog.Logger, listener string) *stdlog.Logger {
	return stdlog.New(stdWriter{log.With().Str("listener", listener).Logger()}, "", 0)
}

// stdWriter logs each line of a standard library logger as an event.
type stdWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w stdWriter) Write(p []byte) (int, error) {
	level := zerolog.DebugLevel
	if bytes.Contains(p, []byte("panic")) {
		level = zerolog.ErrorLevel
	}
	w.log.WithLevel(level).Bytes("detail", bytes.TrimSpace(p)).Msg("http server")
	return len(p), nil
}
