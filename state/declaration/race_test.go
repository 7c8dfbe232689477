//go:build race

package declaration

// The detector makes the stories 20 times slower, and they use one goroutine.
func init() { crowdSeeds = 300 }
