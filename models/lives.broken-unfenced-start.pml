/* Starts are sent to a life that may still carry out calls for an earlier one, and only what it held when it answered is counted. */
#define BROKEN_UNFENCED_START
#define BROKEN_UNFENCED_BOUND
#define MAY_START(c) (call[c].life == life)
#include "lives.pml"
