// Command purser is the store of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/launch"
	"saltmast/internal/purser"
)

func main() { os.Exit(launch.Main(purser.Program, os.Args[1:])) }
