//go:build !linux

package shakedown

import "syscall"

func procAttr() *syscall.SysProcAttr { return nil }
