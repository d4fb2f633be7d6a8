// Runs one case. Usage: cell-case NAME PROGRAM RECORD. Exit code 0 if the rule held, 1 if it was
// broken, 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.

#include "cases.h"
#include "deployment.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <unistd.h>

namespace {

constexpr unsigned maxSeconds = 115; // of a case

// Ends the processes of the case if it is told to end or takes too long.
void onSignal(int)
{
    cwl::review::killMembers();
    _exit(2);
}

} // namespace

int main(int argc, char **argv)
{
    using namespace cwl::review;
    const std::map<std::string, bool (*)(Record &, const std::string &, bool)> cases = {
            {"jobs-beyond-memory", jobsBeyondMemory},
            {"advice-without-a-member", adviceWithoutAMember},
            {"attempts-of-a-wide-job", attemptsOfAWideJob},
            {"failing-lasting-job", failingLastingJob},
            {"long-task-after-short-ones", longTaskAfterShortOnes},
            {"hopeless-lasting-steps", hopelessLastingSteps},
    };
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "usage: cell-case NAME PROGRAM RECORD\n";
        return 2;
    }
    const char *const trouble = std::getenv("TROUBLE");
    const bool hasTrouble = !trouble || std::string(trouble) != "0";
    for (const int number : {SIGTERM, SIGINT, SIGALRM})
        std::signal(number, onSignal);
    alarm(maxSeconds);
    Record record(argv[3]);
    try {
        const bool isKept = cases.at(argv[1])(record, argv[2], hasTrouble);
        record.line(isKept ? "result: the rule held" : "result: the rule was broken");
        std::cout << (isKept ? "the rule held" : "the rule was broken") << std::endl;
        return isKept ? 0 : 1;
    } catch (const std::exception &exception) {
        record.line(std::string("result: cannot run: ") + exception.what());
        std::cout << "cannot run: " << exception.what() << std::endl;
        return 2;
    }
}
