//go:build !syncdelay

package wal

func delaySync() {}

func delayWrite() {}
