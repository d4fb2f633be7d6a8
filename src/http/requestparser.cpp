#include "http/requestparser.h"

#include "http/wire.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

namespace cwl::http {

namespace {

namespace beast = boost::beast;

constexpr size_t fieldSeparators = 4; // ": " and the line end

// Two strings, twice: a vector that grows holds up to twice its elements.
constexpr size_t fieldBytes = 2 * sizeof(std::pair<std::string, std::string>);

// A body of a stated length gets its memory as it arrives, so that a stated length alone costs
// nothing.
constexpr size_t firstBodyBytes = 16UL * 1024;

} // namespace

RequestParser::RequestParser(const RequestLimits &limits)
    : m_limits(limits)
{
    header_limit(uint32_t(limits.headerBytes));
    body_limit(limits.bodyBytes);
}

size_t RequestParser::memory() const
{
    return m_headerBytes + m_fields * fieldBytes + m_request.body.capacity();
}

size_t RequestParser::memoryWith(size_t more) const
{
    const size_t capacity = m_request.body.capacity();
    const bool growsBody = m_isHeaderDone && m_request.body.size() + more > capacity;
    const size_t growth = growsBody ? std::max(more, capacity) : m_isHeaderDone ? 0 : more;
    return memory() + growth;
}

void RequestParser::on_request_impl(beast::http::verb /*method*/, View methodText, View target,
                                    int /*version*/, Error & /*error*/)
{
    m_request.method = std::string(methodText);
    const size_t mark = target.find('?');
    m_request.path = std::string(target.substr(0, mark));
    if (mark != View::npos)
        m_request.query = std::string(target.substr(mark + 1));
    m_headerBytes = methodText.size() + target.size();
}

void RequestParser::on_response_impl(int /*code*/, View /*reason*/, int /*version*/,
                                     Error & /*error*/)
{
}

void RequestParser::on_field_impl(Field field, View name, View value, Error &error)
{
    ++m_fields;
    if (!m_isHeaderDone)
        m_headerBytes += name.size() + value.size() + fieldSeparators;
    if (m_fields > m_limits.headerFields || m_headerBytes > m_limits.headerBytes) {
        error = beast::http::error::header_limit;
        return;
    }
    if (m_isHeaderDone)
        return;
    if (field == Field::expect && beast::http::token_list(value).exists("100-continue"))
        m_expectsContinue = true;
    if (field == Field::transfer_encoding)
        m_hasTransferEncoding = true;
    if (!isFraming(field))
        addField(name, value);
}

// Repeated fields are joined by commas, as RFC 7230 section 3.2.2 allows.
void RequestParser::addField(View name, View value)
{
    std::string nameText(name);
    if (!m_request.headers.contains(nameText)) {
        m_request.headers.set(std::move(nameText), std::string(value));
        return;
    }
    std::string joined = m_request.headers.value(nameText) + ", ";
    joined += value;
    m_request.headers.set(std::move(nameText), std::move(joined));
}

void RequestParser::on_header_impl(Error & /*error*/)
{
    m_isHeaderDone = true;
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length,
                                      Error & /*error*/)
{
    if (length)
        m_request.body.reserve(std::min(size_t(*length), firstBodyBytes));
}

std::size_t RequestParser::on_body_impl(View body, Error &error)
{
    if (m_request.body.size() + body.size() > m_limits.bodyBytes) {
        error = beast::http::error::body_limit;
        return 0;
    }
    m_request.body.append(body);
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, View /*extensions*/,
                                         Error & /*error*/)
{
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*left*/, View body, Error &error)
{
    return on_body_impl(body, error);
}

void RequestParser::on_finish_impl(Error & /*error*/) {}

} // namespace cwl::http
