// Stand-in for the service at `hint`: it handles one call at a time for each calling machine, in
// turn, allows all workers that a call names, and refuses calls while 32 are waiting.
//
// Lives on the thread that runs the io_context.

#pragma once

#include "http/server.h"
#include "record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cwl::review {

struct AdviceTimes
{
    double decisionMs = 0;
    double periodMs = 0; // for each worker named
};

class Advice
{
public:
    using TimesOf = std::function<AdviceTimes(const std::string &phase)>;

    Advice(boost::asio::io_context &context, TimesOf timesOf, Record &record);

    // Listens for the calls of one more machine and returns the port; 0: it cannot.
    uint16_t addMachine();

private:
    struct Call
    {
        std::string phase;
        std::vector<std::string> workers;
        http::Responder respond;
    };
    struct Machine
    {
        std::unique_ptr<http::Server> server;
        std::deque<Call> calls; // the first one is being handled
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void onCall(Machine &machine, const http::Request &request, const http::Responder &respond);
    void handleNext(Machine &machine);

    boost::asio::io_context &m_context;
    const TimesOf m_timesOf;
    Record &m_record;
    std::vector<std::unique_ptr<Machine>> m_machines;
};

} // namespace cwl::review
