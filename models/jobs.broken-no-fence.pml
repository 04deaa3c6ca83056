#define BROKEN_NO_FENCE
#include "jobs.pml"
