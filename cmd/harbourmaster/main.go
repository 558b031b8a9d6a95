// Command harbourmaster is the registry of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/harbour"
	"saltmast/internal/launch"
)

func main() { os.Exit(launch.Main(harbour.Program, os.Args[1:])) }
