/* lives.pml over a change of leader, with two lives. */
#define TERMS 2
#define LIVES 2
#include "lives.pml"
