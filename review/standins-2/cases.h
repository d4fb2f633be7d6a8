// The cases: each returns true if the rule held. With `hasTrouble` false they do the same without
// the disruption.

#pragma once

#include "record.h"

#include <string>

namespace cwl::review {

bool jobsBeyondMemory(Record &record, const std::string &program, bool hasTrouble);
bool hopelessLastingSteps(Record &record, const std::string &program, bool hasTrouble);
bool adviceWithoutAMember(Record &record, const std::string &program, bool hasTrouble);
bool attemptsOfAWideJob(Record &record, const std::string &program, bool hasTrouble);
bool failingLastingJob(Record &record, const std::string &program, bool hasTrouble);
bool longTaskAfterShortOnes(Record &record, const std::string &program, bool hasTrouble);

} // namespace cwl::review
