/* As before bb938ed: ends of leases are sent to whichever life answers, and those of an earlier life are forgotten. */
#define BROKEN_UNCOUNTED
#define MAY_START(c) (call[c].life == life)
#define REACHES(c) (call[c].awaited)
#include "lives.pml"
