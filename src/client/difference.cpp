#include "client/difference.h"

#include <algorithm>
#include <sstream>
#include <vector>

namespace cwl::client {

namespace {

// Beyond this the table of common subsequences would take more than 16 MiB; the texts are then
// shown one after the other.
constexpr size_t maxCells = size_t(4) * 1024 * 1024;

std::vector<std::string> linesOf(const std::string &text)
{
    std::vector<std::string> lines;
    std::istringstream stream(text);
    std::string line;
    while (std::getline(stream, line))
        lines.push_back(line);
    return lines;
}

// Lengths of the longest common subsequences of all pairs of suffixes.
class SuffixTable
{
public:
    SuffixTable(const std::vector<std::string> &before, const std::vector<std::string> &after)
        : m_width(after.size() + 1)
        , m_lengths((before.size() + 1) * m_width)
    {
        for (size_t row = before.size(); row-- > 0;) {
            for (size_t column = after.size(); column-- > 0;) {
                m_lengths[row * m_width + column] = before[row] == after[column]
                        ? at(row + 1, column + 1) + 1
                        : std::max(at(row + 1, column), at(row, column + 1));
            }
        }
    }
    unsigned at(size_t row, size_t column) const { return m_lengths[row * m_width + column]; }

private:
    size_t m_width;
    std::vector<unsigned> m_lengths;
};

std::string prefixed(const char *prefix, const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines)
        text += prefix + line + "\n";
    return text;
}

} // namespace

std::string lineDifference(const std::string &before, const std::string &after)
{
    if (before == after)
        return {};
    const std::vector<std::string> oldLines = linesOf(before);
    const std::vector<std::string> newLines = linesOf(after);
    if ((oldLines.size() + 1) * (newLines.size() + 1) > maxCells)
        return prefixed("-", oldLines) + prefixed("+", newLines);
    const SuffixTable suffixes(oldLines, newLines);
    std::string text;
    size_t row = 0;
    size_t column = 0;
    while (row < oldLines.size() || column < newLines.size()) {
        const bool hasOld = row < oldLines.size();
        const bool hasNew = column < newLines.size();
        if (hasOld && hasNew && oldLines[row] == newLines[column]) {
            text += " " + oldLines[row++] + "\n";
            ++column;
        } else if (hasOld
                   && (!hasNew || suffixes.at(row + 1, column) >= suffixes.at(row, column + 1))) {
            text += "-" + oldLines[row++] + "\n";
        } else {
            text += "+" + newLines[column++] + "\n";
        }
    }
    return text;
}

} // namespace cwl::client
