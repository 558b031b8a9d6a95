// Command tug is the proxy of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/launch"
	"saltmast/internal/tug"
)

func main() { os.Exit(launch.Main(tug.Program, os.Args[1:])) }
