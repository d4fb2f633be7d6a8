// Plays one case: reviewcase NAME RECORD, from the root of the repository. TROUBLE=0 in the
// environment leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if
// the case could not run.

#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char **argv)
{
    using namespace review;
    const std::map<std::string, int (*)(Ledger &, bool)> cases = {
            {"many-ends", manyEnds},
            {"ends-of-new-life", endsOfNewLife},
            {"pending-jobs", pendingJobs},
            {"long-lease", longLease},
    };
    const auto found = argc == 3 ? cases.find(argv[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: reviewcase NAME RECORD\n";
        return notRun;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    Ledger ledger(argv[2]);
    ledger.note(found->first + (hasTrouble ? "" : ", without the disruption"));
    const int result = found->second(ledger, hasTrouble);
    std::cout << found->first << ": "
              << (result == notRun ? std::string("could not run") : ledger.summary()) << "\n";
    return result;
}
