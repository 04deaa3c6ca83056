/* The assumption is left out: a start is carried out by a life that the leader has not fenced. */
#define MAY_START(c) true
#include "lives.pml"
