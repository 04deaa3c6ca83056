package main

import (
	"fmt"

	klog "github.com/go-kratos/kratos/v2/log"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// kratosLog writes what kratos logs as lines of the daemon's own log.
type kratosLog struct {
	log *zap.Logger
}

// Log writes one line. Keys and values alternate in keyvals.
func (k kratosLog) Log(level klog.Level, keyvals ...any) error {
	var fields []zap.Field
	text := ""
	for i := 0; i+1 < len(keyvals); i += 2 {
		key := fmt.Sprint(keyvals[i])
		if key == klog.DefaultMessageKey {
			text = fmt.Sprint(keyvals[i+1])
			continue
		}
		fields = append(fields, zap.Any(key, keyvals[i+1]))
	}
	k.log.Log(zapLevel(level), text, fields...)
	return nil
}

func zapLevel(l klog.Level) zapcore.Level {
	switch {
	case l <= klog.LevelDebug:
		return zapcore.DebugLevel
	case l == klog.LevelInfo:
		return zapcore.InfoLevel
	case l == klog.LevelWarn:
		return zapcore.WarnLevel
	}
	return zapcore.ErrorLevel
}
