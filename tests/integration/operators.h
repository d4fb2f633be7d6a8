// Operators that change cell settings through schedulers, and what each process has in force.

#pragma once

#include "integration/cell.h"

#include <json/value.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace cwl::integration {

// A text of the subtree "draws" that differs by `note`.
std::string teamText(const std::string &note);

// PUT of the subtree "draws"; status 0 if no answer came.
harness::JsonAnswer putTeam(const std::string &address, const std::string &changeId,
                            int64_t basedOn, const std::string &text);

// Tries at the schedulers in turn, under one change id, until the change is accepted; returns its
// version, or 0 if it is not.
int64_t changeTeam(Cell &cell, const std::string &note);

// The version that a process has in force, from its state dump; -1 if it does not answer.
int64_t versionOf(const std::string &address);

// The version in the store.
int64_t storedVersion(const Cell &cell);

// Waits until all these processes have at least this version.
bool waitForVersion(const std::vector<std::string> &addresses, int64_t version);

// Reads the versions of processes all the time and notes each that goes back. A process that
// starts anew must have at least what was accepted before it started.
class VersionWatch
{
public:
    explicit VersionWatch(const std::vector<std::string> &addresses);
    ~VersionWatch();

    std::string stop(); // what went back; empty if nothing did

private:
    void watch(const std::string &address, std::string &violations) const;

    std::atomic<bool> m_isStopping = false;
    std::vector<std::string> m_violations;
    std::vector<std::thread> m_threads;
};

} // namespace cwl::integration
