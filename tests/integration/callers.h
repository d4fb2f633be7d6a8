// Callers that send requests all the time, and the judgement of the answers that they got against
// what the endpoints ran.

#pragma once

#include "integration/cell.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cwl::integration {

// One try of a request at one entry.
struct Attempt
{
    std::string entry;
    std::string outcome = {}; // "answered", "not-run", "unknown"; "lost" if no answer came
    std::string type = {};    // of the error, or of the failed call
    int status = 0;           // HTTP status code, 0 if lost
    bool isOwn = false;       // the complete answer to this request
};

struct RequestRecord
{
    std::string id;
    std::string method;
    std::vector<Attempt> attempts = {};

    bool isAnswered() const { return attempts.back().outcome == "answered"; }
};

struct CallerOptions
{
    size_t threads = 8;
    size_t maxAttempts = 4; // of one id, each at another entry
    int64_t deadlineMs = 3000;
    int64_t patienceMs = 2000; // after the deadline, until a caller gives an entry up
    int64_t pauseMs = 5;       // of one caller between requests
    std::string urgency = "normal";
    std::string onlyMethod = {}; // empty: both in turn
    size_t bodyBytes = 40;
    uint64_t seed = 1;
};

// The time's id prefix and a suffix that is unique in the test program.
std::string newRequestId();

// Sends one request and reads its answer. `number` counts the attempts of this id from 1.
Attempt send(const std::string &entry, const std::string &method, const std::string &id,
             const std::string &body, const CallerOptions &options, size_t number = 1);

class Callers
{
public:
    Callers(std::vector<std::string> entries, const CallerOptions &options);
    ~Callers(); // stops

    void stop(); // waits for the answers that are due
    std::vector<RequestRecord> records() const;
    size_t answered() const { return m_answered; }

    // Waits until `more` further requests were answered.
    bool waitForAnswers(size_t more) const;

    std::string summary() const;

private:
    void run(uint64_t seed);

    const std::vector<std::string> m_entries;
    const CallerOptions m_options;
    std::atomic<bool> m_isStopping = false;
    std::atomic<size_t> m_answered = 0;
    mutable std::mutex m_mutex; // guards m_records
    std::vector<RequestRecord> m_records;
    std::vector<std::thread> m_threads;
};

// What breaks P3, P4 or P5, or the limits of an endpoint; empty if nothing does. "not-run" speaks
// of the id for a non-idempotent method, so its last answer must hold for all attempts; for an
// idempotent one it speaks of the attempt.
std::string requestViolations(const Cell &cell, const std::vector<RequestRecord> &records);

// Counts of the attempts by "outcome type", for messages.
std::string summaryOf(const std::vector<RequestRecord> &records);

// Attempts that ended with this outcome.
size_t countOutcome(const std::vector<RequestRecord> &records, const std::string &outcome);

} // namespace cwl::integration
