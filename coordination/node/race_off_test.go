//go:build !race

package node

// Seeds of the tests over random worlds.
const (
	randomSeeds     = 40
	badNetworkSeeds = 6
	fleetSeeds      = 12
	recoverySeeds   = 40
	recoverySteps   = 8
	homeDeathSeeds  = 40
)
