//go:build !linux

package integration

import "syscall"

func procAttr() *syscall.SysProcAttr { return nil }
