// Command lookout is the operators' console of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/console"
)

func main() { os.Exit(console.Main(os.Args[1:], os.Stdout, os.Stderr)) }
