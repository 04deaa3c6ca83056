/* As msworker.Lease.Answered stands: a life that is not fenced is taken to hold no more than it could when it answered. */
#define BROKEN_CODE_UNFENCED_BOUND
#include "lives.pml"
