// Blocking HTTP calls and waiting, for tests.

#pragma once

#include "base/clock.h"
#include "http/message.h"

#include <absl/status/statusor.h>
#include <json/value.h>

#include <string>
#include <thread>

namespace cwl::harness {

// Deadline of waits that end at once unless something is broken.
inline TimePoint patience()
{
    return BootClock::now() + seconds(30);
}

// Polls `condition` until it holds; false if it does not by `deadline`.
template <typename Condition>
bool waitUntil(TimePoint deadline, Condition condition)
{
    while (!condition()) {
        if (BootClock::now() >= deadline)
            return false;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return true;
}

// Sends one request on a connection of its own. Errors: those of http::Client.
absl::StatusOr<http::Response> call(const std::string &address, http::Request request,
                                    TimePoint deadline = patience());

struct JsonAnswer
{
    int status = 0;
    Json::Value body = {};
    http::Headers headers = {};
};

// Sends JSON and reads JSON. Errors: those of call(), MalformedBody.
absl::StatusOr<JsonAnswer> getJson(const std::string &address, const std::string &path,
                                   TimePoint deadline = patience());
absl::StatusOr<JsonAnswer> postJson(const std::string &address, const std::string &path,
                                    const Json::Value &body, TimePoint deadline = patience());

// True once GET /readyz answers 200.
bool waitForReady(const std::string &address, TimePoint deadline);

std::string loopback(uint16_t port); // "127.0.0.1:<port>"

} // namespace cwl::harness
