// Command purser is the store of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/launch"
	"saltmast/internal/store"
)

func main() { os.Exit(launch.Main(store.Program, os.Args[1:])) }
