#define BROKEN_NO_HOLD
#include "jobs.pml"
