#define BROKEN_ACK_FIRST
#include "jobs.pml"
