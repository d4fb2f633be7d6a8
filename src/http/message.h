// HTTP requests and answers as plain data, independent of the library that carries them.

#pragma once

#include <string>
#include <utility>
#include <vector>

namespace cwl::http {

// Header fields in order; names compare without case.
class Headers
{
public:
    void set(std::string name, std::string value);
    // Returns the value, or an empty string when the field is absent.
    const std::string &value(const std::string &name) const;
    bool contains(const std::string &name) const;
    const std::vector<std::pair<std::string, std::string>> &all() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

struct Request
{
    std::string method = "GET"; // upper case
    std::string path = "/";     // without the query
    std::string query = {};     // after the question mark; may be empty
    Headers headers = {};       // without those that frame the message
    std::string body = {};      // complete
};

struct Response
{
    int status = 200;      // HTTP status code
    Headers headers = {};  // without those that frame the message
    std::string body = {}; // complete
};

} // namespace cwl::http
