//go:build race

package member

const modelSeeds = 1
