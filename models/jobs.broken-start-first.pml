#define BROKEN_START_FIRST
#include "jobs.pml"
