// Jobs of the integration tests: submission and display through any scheduler, and the workers'
// judgement.

#pragma once

#include "integration/cell.h"

#include <json/value.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cwl::integration {

constexpr const char *workerGroup = "worker/cell";

// A job of team "draws"; each task takes one core and 1 GiB unless changed.
Json::Value makeJob(const std::string &id, const std::string &kind, int count, int runMs);

// One call to the schedulers in turn, the first at `first`, until one gives an answer other than
// 503 and 504 or `deadline` passes. Status 0 if none answers.
harness::JsonAnswer callSchedulers(Cell &cell, const std::string &method, const std::string &path,
                                   const Json::Value &body = {}, size_t first = 0,
                                   TimePoint deadline = harness::patience());

harness::JsonAnswer submit(Cell &cell, const Json::Value &job, size_t first = 0);

// Waits until the job as shown fulfils `holds`.
bool waitForJob(Cell &cell, const std::string &id,
                const std::function<bool(const Json::Value &)> &holds, Duration limit);

// Asserts, for CppUnit.
void assertAccepted(Cell &cell, const Json::Value &job, size_t first = 0);
void assertRunning(Cell &cell, const std::string &id, int atLeast);
void assertDone(Cell &cell, const std::string &id); // and every task succeeded
void assertPlacementsKept(Cell &cell, int64_t minimumStarts);

// What breaks P1 or P2, or ran a gang in part, or came from a stale owner; empty if nothing does.
std::string placementViolations(const Cell &cell);

} // namespace cwl::integration
