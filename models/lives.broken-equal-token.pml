/* A life counts as fenced from calls with the same token. */
#define BROKEN_EQUAL_TOKEN
#include "lives.pml"
