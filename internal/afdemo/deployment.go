package afdemo

import "fmt"

const (
	vmCount       = 6
	callersPort   = 8080
	operatorsPort = 8081
	enginePort    = 9100
	plainPort     = 9200
)

// Deployment names what the demo uses of one example configuration.
type Deployment struct {
	Engines, Plain int
	// EngineNet and PlainNet are the first three parts of the stand-ins' addresses.
	EngineNet, PlainNet string
	Cold, Adapter       string
	Once                string
	Customers           []string
	Small               string
}

// Deployments are the examples by name.
var Deployments = map[string]Deployment{
	"fuqaa": {
		Engines: 9, Plain: 3, EngineNet: "127.0.2", PlainNet: "127.0.3",
		Cold: "order-fr-3b", Adapter: "order-ar-8b:nile-party-shops", Once: "/app/payments",
		Customers: []string{"nile-party-shops", "delta-events", "giza-weddings", "zamalek-toys", "maadi-balloons"},
		Small:     "maadi-balloons",
	},
	"umurongo": {
		Engines: 12, Plain: 4, EngineNet: "127.0.4", PlainNet: "127.0.5",
		Cold: "quote-sw-3b", Adapter: "quote-rw-3b:virunga-bars", Once: "/shop/payments",
		Customers: []string{"virunga-bars", "kivu-hotels", "akagera-lodges", "nyungwe-cafes", "rusizi-stools"},
		Small:     "rusizi-stools",
	},
}

// WithDeployment returns a copy of the demo that runs against the example.
func (d Demo) WithDeployment(e Deployment) Demo {
	for vm := range vmCount {
		d.Callers = append(d.Callers, fmt.Sprintf("http://127.0.1.%d:%d", vm+1, callersPort))
		d.Operators = append(d.Operators, fmt.Sprintf("http://127.0.1.%d:%d", vm+1, operatorsPort))
	}
	for i := range e.Engines {
		d.Engines = append(d.Engines, fmt.Sprintf("http://%s.%d:%d", e.EngineNet, i+1, enginePort))
	}
	for i := range e.Plain {
		d.Plain = append(d.Plain, fmt.Sprintf("http://%s.%d:%d", e.PlainNet, i+1, plainPort))
	}
	d.Cold, d.Adapter, d.Once = e.Cold, e.Adapter, e.Once
	d.Customers, d.Small = e.Customers, e.Small
	return d
}
