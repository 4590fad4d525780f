package main

// sysPrlimit64 is the number of the system call prlimit64.
const sysPrlimit64 = 261
