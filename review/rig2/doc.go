// Command rig2 runs the cases of the second review: it starts stand-ins of the platform's store and of
// backend servers, the hosts as separate processes, and clients, and judges what the clients and the
// servers have seen.
package main
