// The open connections of one server, by what they do and since when, so that the one to close in
// favour of others is found at once. Internal to this library. Any thread.

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <vector>

namespace cwl::http {

class Session;

enum class Stage {
    Idle,   // between two requests
    Active, // in the middle of a request, or of a response that has not been read yet
    Owed,   // a request has been read completely: it is not closed before its response
    Ending, // chosen to be closed
};

enum class Relief {
    Coming, // another connection is being closed
    Self,   // the connection that asks has been active for the longest time
    None,   // there is no connection that may be closed
};

class ConnectionTable
{
public:
    struct Connection
    {
        std::shared_ptr<Session> session;
        Stage stage = Stage::Idle;
    };
    using Entry = std::list<Connection>::iterator;

    explicit ConnectionTable(size_t limit)
        : m_limit(limit)
    {
    }

    // Adds an idle connection. At the limit, the connection that has been idle for the longest time
    // is closed in its favour, or else the one that has been active for the longest time. Returns
    // false if there is neither.
    bool add(const std::shared_ptr<Session> &session);
    void remove(Entry entry);

    // A connection that is to be closed stays so, unless its request has been read completely.
    void move(Entry entry, Stage stage);

    // Frees memory for `entry`, which is active: closes the connection that has been active for the
    // longest time, or else the one that has been idle for the longest time.
    Relief relieve(Entry entry);

    // Frees memory for a response: as above, but never closes `entry`.
    void relieveOthers(Entry entry);

    // Frees more memory after a connection has been closed; never closes the last active one.
    void relieveRest();

    // Closes one idle connection, for want of descriptors; false if there is none.
    bool closeIdle();

    size_t size() const;
    std::vector<std::shared_ptr<Session>> sessions() const;

private:
    std::list<Connection> &list(Stage stage) { return m_lists[size_t(stage)]; }
    size_t count() const;
    void end(Entry entry);

    const size_t m_limit;
    mutable std::mutex m_mutex;                   // guards the lists
    std::array<std::list<Connection>, 4> m_lists; // by stage; the longest in it comes first
};

} // namespace cwl::http
