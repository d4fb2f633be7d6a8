// Parses one request straight into the plain message, with bounds on the header, the number of
// fields and the body. Trailer fields are checked, counted and discarded. Internal to this library.

#pragma once

#include "http/message.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace cwl::http {

struct RequestLimits
{
    size_t headerBytes = 0;  // of the request line and all fields
    size_t headerFields = 0; // header and trailer fields together
    size_t bodyBytes = 0;
};

class RequestParser final : public boost::beast::http::basic_parser<true>
{
public:
    explicit RequestParser(const RequestLimits &limits);

    bool isHead() const { return m_request.method == "HEAD"; }
    bool expectsContinue() const { return m_expectsContinue; }
    bool hasTransferEncoding() const { return m_hasTransferEncoding; }

    // Bytes that the message holds, and that it may hold after `more` bytes have been parsed.
    size_t memory() const;
    size_t memoryWith(size_t more) const;

    Request release() { return std::move(m_request); }

private:
    using Error = boost::beast::error_code;
    using View = boost::beast::string_view;
    using Field = boost::beast::http::field;

    void on_request_impl(boost::beast::http::verb method, View methodText, View target, int version,
                         Error &error) override;
    void on_response_impl(int code, View reason, int version, Error &error) override;
    void on_field_impl(Field field, View name, View value, Error &error) override;
    void on_header_impl(Error &error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, Error &error) override;
    std::size_t on_body_impl(View body, Error &error) override;
    void on_chunk_header_impl(std::uint64_t size, View extensions, Error &error) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, View body, Error &error) override;
    void on_finish_impl(Error &error) override;

    void addField(View name, View value);

    const RequestLimits m_limits;
    Request m_request;
    size_t m_headerBytes = 0;
    size_t m_fields = 0;
    bool m_isHeaderDone = false;
    bool m_expectsContinue = false;
    bool m_hasTransferEncoding = false;
};

} // namespace cwl::http
