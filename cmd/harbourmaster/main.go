// Command harbourmaster is the registry of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/process"
	"saltmast/internal/registry"
)

func main() { os.Exit(process.Main(registry.Program, os.Args[1:])) }
