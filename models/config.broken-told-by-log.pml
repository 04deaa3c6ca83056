/* The operator is told as soon as the log has the record, though no entry knows it: msoperator.Operator.change as it stands. */
#define BROKEN_TOLD
#include "config.pml"
