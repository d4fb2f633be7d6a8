// HTTP API for operators: jobs, workers and settings; docs/design.md, section 9.4.

#pragma once

#include "http/server.h"
#include "scheduler/groups.h"
#include "settings/follower.h"

#include <boost/asio/io_context.hpp>

#include <string>

namespace cwl::scheduler {

class OperatorsApi
{
public:
    OperatorsApi(boost::asio::io_context &control, Groups &groups, settings::Follower &follower)
        : m_control(control)
        , m_groups(groups)
        , m_follower(follower)
    {
    }

    // Callable from any thread. Calls `respond` once.
    void handle(http::Request request, http::Responder respond);

private:
    void dispatch(const http::Request &request, const http::Responder &respond);
    void handleJobs(const http::Request &request, const std::string &rest,
                    const http::Responder &respond);
    void handleWorkers(const http::Request &request, const std::string &rest,
                       const http::Responder &respond);
    void handleSettings(const http::Request &request, const std::string &rest,
                        const http::Responder &respond);
    void submitJob(const http::Request &request, const http::Responder &respond);
    void showSettings(const std::string &subtree, const http::Responder &respond);
    void changeSettings(const http::Request &request, const std::string &subtree,
                        const http::Responder &respond);

    boost::asio::io_context &m_control;
    Groups &m_groups;
    settings::Follower &m_follower;
};

} // namespace cwl::scheduler
