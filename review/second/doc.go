// Package second has the tests of the second review's cases.
package second
