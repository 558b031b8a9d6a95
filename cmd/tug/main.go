// Command tug is the proxy of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/process"
	"saltmast/internal/proxy"
)

func main() { os.Exit(process.Main(proxy.Program, os.Args[1:])) }
