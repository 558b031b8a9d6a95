package integration

import "syscall"

// procAttr has a program end with the test that started it, however that ends.
func procAttr() *syscall.SysProcAttr { return &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
