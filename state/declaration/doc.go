// Package declaration defines the format of the file in which an operator declares
// its services, and checks it. A file has all services of one operator and
// replaces the previous file as a whole.
package declaration
