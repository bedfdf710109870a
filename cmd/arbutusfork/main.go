// Command arbutusfork serves rarely used models and is the operators' client.
package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("arbutusfork", "Serves rarely used models.")
	app.HelpFlag.Short('h')
	kingpin.MustParse(app.Parse(os.Args[1:]))
}
