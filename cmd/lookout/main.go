// Command lookout is the operators' console of the mesh: see docs/mesh.md.
package main

import (
	"os"

	"saltmast/internal/lookout"
)

func main() { os.Exit(lookout.Main(os.Args[1:], os.Stdout, os.Stderr)) }
