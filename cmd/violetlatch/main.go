// Command violetlatch is one real agent: the decision module on sockets, beside one application.
package main

import (
	"os"

	"saltmast/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:])) }
