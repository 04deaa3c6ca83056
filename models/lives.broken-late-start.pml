/* The assumption is left out: as the code stands, a start is carried out by a life that the leader has not fenced. */
#define MAY_START(c) true
#include "lives.pml"
