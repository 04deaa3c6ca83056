/* The clock in a late answer to a start, of an earlier life, is taken for that of the present one. */
#define BROKEN_ANSWER_CLOCK
#include "lives.pml"
