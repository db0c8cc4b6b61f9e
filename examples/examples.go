package examples

import "embed"

//go:embed society bakhour
var files embed.FS

// Files returns the files of the example deployments, those of each deployment in a
// directory with its name.
func Files() embed.FS { return files }
