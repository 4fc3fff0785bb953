// Package cmds builds and runs the commands of the rhubarbpost program.
package cmds
