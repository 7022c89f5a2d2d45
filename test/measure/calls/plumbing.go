package main

import (
	"io"
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// drain reads an answer's body to its end.
func drain(resp *http.Response) error {
	_, err := io.Copy(io.Discard, resp.Body)
	return err
}

// discardCore encodes log lines and throws them away.
func discardCore() zapcore.Core {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zapcore.NewCore(encoder, zapcore.AddSync(io.Discard), zapcore.InfoLevel)
}
