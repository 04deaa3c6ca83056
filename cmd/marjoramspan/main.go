// Command marjoramspan is the daemon of an entry VM and the operators' tool.
package main

func main() {}
