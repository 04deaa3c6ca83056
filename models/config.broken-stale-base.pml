/* The base of a publish is not checked. */
#define BROKEN_BASE
#include "config.pml"
