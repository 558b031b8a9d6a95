// Command purser is the store of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/process"
	"saltmast/internal/store"
)

func main() { os.Exit(process.Main(store.Program, os.Args[1:])) }
