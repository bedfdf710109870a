package afdemo

import "fmt"

const (
	vmSubnet      = 1
	vmCount       = 6
	callersPort   = 8080
	operatorsPort = 8081
	enginePort    = 9100
	plainPort     = 9200
	platformPort  = 9000
	weightsPort   = 9001
)

// Deployment is the part of one example configuration that the demo uses.
type Deployment struct {
	EngineCount, PlainServiceCount int
	// EngineSubnet and PlainServiceSubnet are the third parts of the stand-ins' addresses 127.net.subnet.number.
	EngineSubnet, PlainServiceSubnet int
	ColdModel, AdapterModel          string
	AtMostOncePath                   string
	Customers                        []string
	LimitedCustomer                  string
}

// Deployments holds the examples by name.
var Deployments = map[string]Deployment{
	"fuqaa": {
		EngineCount: 9, PlainServiceCount: 3, EngineSubnet: 2, PlainServiceSubnet: 3,
		ColdModel: "order-fr-3b", AdapterModel: "order-ar-8b:nile-party-shops", AtMostOncePath: "/app/payments",
		Customers:       []string{"nile-party-shops", "delta-events", "giza-weddings", "zamalek-toys", "maadi-balloons"},
		LimitedCustomer: "maadi-balloons",
	},
	"umurongo": {
		EngineCount: 12, PlainServiceCount: 4, EngineSubnet: 4, PlainServiceSubnet: 5,
		ColdModel: "quote-sw-3b", AdapterModel: "quote-rw-3b:virunga-bars", AtMostOncePath: "/shop/payments",
		Customers:       []string{"virunga-bars", "kivu-hotels", "akagera-lodges", "nyungwe-cafes", "rusizi-stools"},
		LimitedCustomer: "rusizi-stools",
	},
}

// BaseURLs holds the base URLs of the processes of a running example, in the order of their numbers.
type BaseURLs struct {
	CallersURLs, OperatorsURLs, EngineURLs, PlainServiceURLs []string
	PlatformURL, WeightStoreURL                              string
}

// BaseURLs returns the base URLs of the example on the loopback addresses 127.net.x.y.
func (e Deployment) BaseURLs(net int) BaseURLs {
	baseURLs := func(subnet, n, port int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("http://127.%d.%d.%d:%d", net, subnet, i+1, port))
		}
		return out
	}
	return BaseURLs{
		CallersURLs:      baseURLs(vmSubnet, vmCount, callersPort),
		OperatorsURLs:    baseURLs(vmSubnet, vmCount, operatorsPort),
		EngineURLs:       baseURLs(e.EngineSubnet, e.EngineCount, enginePort),
		PlainServiceURLs: baseURLs(e.PlainServiceSubnet, e.PlainServiceCount, plainPort),
		PlatformURL:      baseURLs(0, 1, platformPort)[0],
		WeightStoreURL:   baseURLs(0, 1, weightsPort)[0],
	}
}

// WithDeployment returns a copy of the demo that checks the example on the loopback addresses 127.net.x.y.
func (d Demo) WithDeployment(e Deployment, net int) Demo {
	a := e.BaseURLs(net)
	d.CallersURLs, d.OperatorsURLs, d.EngineURLs, d.PlainServiceURLs = a.CallersURLs, a.OperatorsURLs, a.EngineURLs, a.PlainServiceURLs
	d.ColdModel, d.AdapterModel, d.AtMostOncePath = e.ColdModel, e.AdapterModel, e.AtMostOncePath
	d.Customers, d.LimitedCustomer = e.Customers, e.LimitedCustomer
	return d
}
