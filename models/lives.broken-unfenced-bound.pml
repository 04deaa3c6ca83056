/* A life that is not fenced is taken to hold no more than it could when it answered. */
#define BROKEN_UNFENCED_BOUND
#include "lives.pml"
