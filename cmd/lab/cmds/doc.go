// Package cmds builds and runs the commands of the lab program.
package cmds
