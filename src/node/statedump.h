// Collects the sections of the state dump from the control thread, bounded in size and time.

#pragma once

#include "base/clock.h"

#include <boost/asio/io_context.hpp>
#include <json/value.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cwl::node {

// Dumps at once, so that requests during a stall of the control thread do not pile up there.
constexpr int maxDumpsUnderWay = 4;

class StateDump
{
public:
    using Section = std::pair<std::string, std::function<Json::Value()>>;
    // Text of each section in order, as compact JSON.
    using Texts = std::vector<std::pair<std::string, std::string>>;

    // Sections run on `control`; the deadline is kept on `traffic`.
    StateDump(boost::asio::io_context &control, boost::asio::io_context &traffic);

    void add(const std::string &name, std::function<Json::Value()> section);

    // Calls `done` once: when all sections have answered, or at the deadline, when those without an
    // answer are reported as such. Returns false, and calls nothing, when too many are under way.
    bool collect(std::function<void(Texts)> done);

    // Returns one JSON object with a member for each section.
    static std::string joined(const Texts &texts);

private:
    struct Collection;

    boost::asio::io_context &m_control;
    boost::asio::io_context &m_traffic;
    std::vector<Section> m_sections;
    std::shared_ptr<std::atomic<int>> m_underWay = std::make_shared<std::atomic<int>>(0);
};

} // namespace cwl::node
