/* The assumption is left out for a start that a frozen leader sends after it has checked its term. */
#define TERMS 2
#define LIVES 2
#define MAY_START(c) (call[c].life == life || call[c].frozen)
#define REACHES(c) (call[c].life == life || age <= DELAY || call[c].frozen)
#include "lives.pml"
