// The cases of review/, one function each. They return what run.sh exits with.

#pragma once

#include "ledger.h"

namespace review {

constexpr int held = 0;   // the rule held
constexpr int broke = 1;  // the rule was broken
constexpr int notRun = 2; // the case could not run

int manyEnds(Ledger &ledger, bool hasTrouble);
int endsOfNewLife(Ledger &ledger, bool hasTrouble);
int pendingJobs(Ledger &ledger, bool hasTrouble);
int longLease(Ledger &ledger, bool hasTrouble);

} // namespace review
