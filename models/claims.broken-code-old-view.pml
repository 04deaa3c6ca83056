/* As msmember.View.Logged stands: a statement that was made in an older view counts. */
#define BROKEN_VIEW
#include "claims.pml"
