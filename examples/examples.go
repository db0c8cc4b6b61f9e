package examples

import "embed"

//go:embed society bakhour
var files embed.FS

// Files returns the documents, the settings files and the stand-ins of the
// example deployments, each in a directory with the name of the deployment.
func Files() embed.FS { return files }
