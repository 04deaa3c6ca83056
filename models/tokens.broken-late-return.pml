/* A holder counts the tokens that it returns only when the answer comes. */
#define HELD_AFTER_RETURN(x) held[x]
#define HELD_ON_ANSWER(x, s) runs[x]
#include "tokens.pml"
