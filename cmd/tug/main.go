// Command tug is the proxy of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/launch"
	"saltmast/internal/proxy"
)

func main() { os.Exit(launch.Main(proxy.Program, os.Args[1:])) }
