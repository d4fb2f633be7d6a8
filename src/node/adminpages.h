// The pages of every process: /healthz, /readyz, /metrics and /state.

#pragma once

#include "http/server.h"
#include "metrics/metrics.h"
#include "node/readiness.h"
#include "node/statedump.h"

namespace cwl::node {

// A control thread that has been stalled for longer makes /healthz fail, so that the instance can
// be replaced.
constexpr Duration unhealthyAfter = seconds(10);

// An answer in the error form that all interfaces share.
http::Response errorResponse(int status, const absl::Status &error);

class AdminPages
{
public:
    AdminPages(StateDump &dump, const Readiness &readiness, const metrics::Registry &metrics);

    // Returns false when the path is none of the pages; `respond` is then not used. Any thread.
    bool handle(const http::Request &request, const http::Responder &respond);

private:
    void answerState(const http::Responder &respond);

    StateDump &m_dump;
    const Readiness &m_readiness;
    const metrics::Registry &m_metrics;
};

} // namespace cwl::node
