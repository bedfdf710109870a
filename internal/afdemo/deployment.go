package afdemo

import "fmt"

const (
	vmNet         = 1
	vmCount       = 6
	callersPort   = 8080
	operatorsPort = 8081
	enginePort    = 9100
	plainPort     = 9200
	platformPort  = 9000
	weightsPort   = 9001
)

// Deployment names what the demo uses of one example configuration.
type Deployment struct {
	Engines, Plain int
	// EngineNet and PlainNet are the third parts of the stand-ins' addresses, which follow the run's net.
	EngineNet, PlainNet int
	Cold, Adapter       string
	Once                string
	Customers           []string
	Small               string
}

// Deployments are the examples by name.
var Deployments = map[string]Deployment{
	"fuqaa": {
		Engines: 9, Plain: 3, EngineNet: 2, PlainNet: 3,
		Cold: "order-fr-3b", Adapter: "order-ar-8b:nile-party-shops", Once: "/app/payments",
		Customers: []string{"nile-party-shops", "delta-events", "giza-weddings", "zamalek-toys", "maadi-balloons"},
		Small:     "maadi-balloons",
	},
	"umurongo": {
		Engines: 12, Plain: 4, EngineNet: 4, PlainNet: 5,
		Cold: "quote-sw-3b", Adapter: "quote-rw-3b:virunga-bars", Once: "/shop/payments",
		Customers: []string{"virunga-bars", "kivu-hotels", "akagera-lodges", "nyungwe-cafes", "rusizi-stools"},
		Small:     "rusizi-stools",
	},
}

// Addresses holds the base URLs of a running example, in order of number.
type Addresses struct {
	Callers, Operators, Engines, Plain []string
	Platform, Weights                  string
}

// Addresses returns where the example runs on the loopback addresses 127.net.x.y.
func (e Deployment) Addresses(net int) Addresses {
	list := func(third, n, port int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("http://127.%d.%d.%d:%d", net, third, i+1, port))
		}
		return out
	}
	return Addresses{
		Callers:   list(vmNet, vmCount, callersPort),
		Operators: list(vmNet, vmCount, operatorsPort),
		Engines:   list(e.EngineNet, e.Engines, enginePort),
		Plain:     list(e.PlainNet, e.Plain, plainPort),
		Platform:  list(0, 1, platformPort)[0],
		Weights:   list(0, 1, weightsPort)[0],
	}
}

// WithDeployment returns a copy of the demo that runs against the example on 127.net.x.y.
func (d Demo) WithDeployment(e Deployment, net int) Demo {
	a := e.Addresses(net)
	d.Callers, d.Operators, d.Engines, d.Plain = a.Callers, a.Operators, a.Engines, a.Plain
	d.Cold, d.Adapter, d.Once = e.Cold, e.Adapter, e.Once
	d.Customers, d.Small = e.Customers, e.Small
	return d
}
