#include "base/boundedjson.h"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

namespace cwl {

namespace {

// Passes the parser's events to a document and ends the parsing below the deepest allowed level.
class DepthLimit : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, DepthLimit>
{
public:
    explicit DepthLimit(rapidjson::Document &document)
        : m_document(document)
    {
    }

    using Size = rapidjson::SizeType;

    bool Null() { return m_document.Null(); }
    bool Bool(bool value) { return m_document.Bool(value); }
    bool Int(int value) { return m_document.Int(value); }
    bool Uint(unsigned value) { return m_document.Uint(value); }
    bool Int64(int64_t value) { return m_document.Int64(value); }
    bool Uint64(uint64_t value) { return m_document.Uint64(value); }
    bool Double(double value) { return m_document.Double(value); }
    bool String(const char *text, Size length, bool isCopied)
    {
        return m_document.String(text, length, isCopied);
    }
    bool Key(const char *text, Size length, bool isCopied)
    {
        return m_document.Key(text, length, isCopied);
    }
    bool StartObject() { return ++m_depth <= maxJsonDepth && m_document.StartObject(); }
    bool StartArray() { return ++m_depth <= maxJsonDepth && m_document.StartArray(); }
    bool EndObject(Size members)
    {
        --m_depth;
        return m_document.EndObject(members);
    }
    bool EndArray(Size elements)
    {
        --m_depth;
        return m_document.EndArray(elements);
    }

private:
    rapidjson::Document &m_document;
    size_t m_depth = 0;
};

constexpr unsigned parseFlags = rapidjson::kParseIterativeFlag | rapidjson::kParseFullPrecisionFlag
        | rapidjson::kParseValidateEncodingFlag;

} // namespace

bool parseJsonObject(rapidjson::Document &document, std::string_view text, size_t *errorOffset)
{
    bool isParsed = false;
    const auto parse = [&](rapidjson::Document &target) {
        rapidjson::MemoryStream stream(text.data(), text.size());
        rapidjson::Reader reader;
        DepthLimit limit(target);
        isParsed = !reader.Parse<parseFlags>(stream, limit).IsError();
        if (!isParsed && errorOffset)
            *errorOffset = reader.GetErrorOffset();
        return isParsed;
    };
    document.Populate(parse);
    return isParsed && document.IsObject();
}

} // namespace cwl
