/* As in bb938ed: a call reaches the life that it is for, but a late one the next, and the leader counts its own grants. */
#define BROKEN_UNCOUNTED
#define MAY_START(c) (call[c].life == life)
#define REACHES(c) (call[c].life == life || (!call[c].awaited && age <= DELAY) || (call[c].awaited && call[c].class == 0 && call[c].left == 0))
#include "lives.pml"
