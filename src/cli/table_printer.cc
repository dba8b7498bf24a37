#include "cli/table_printer.h"

#include <boost/json.hpp>

#include <algorithm>
#include <ostream>
#include <vector>

namespace cardamompaddle {
namespace {

namespace json = boost::json;

struct Column
{
    std::string name;
    size_t width = 0;
    bool rightAligned = true; // every value is a number
};

std::string cellText(const json::value *value)
{
    if (value == nullptr || value->is_null())
        return "-";
    if (value->is_string())
        return printable({value->get_string().data(), value->get_string().size()});
    return printable(json::serialize(*value));
}

// Counts the code points of UTF-8 text by skipping continuation bytes.
size_t displayWidth(std::string_view text)
{
    return static_cast<size_t>(std::count_if(text.begin(), text.end(), [](char c) {
        return (static_cast<unsigned char>(c) & 0xC0U) != 0x80U;
    }));
}

std::vector<Column> collectColumns(const json::array &rows)
{
    std::vector<Column> out;
    for (const json::value &row : rows) {
        if (!row.is_object())
            continue;
        for (const auto &pair : row.get_object()) {
            const std::string name(pair.key());
            auto it = std::find_if(out.begin(), out.end(),
                                   [&name](const Column &column) { return column.name == name; });
            if (it == out.end())
                it = out.insert(out.end(), {name, displayWidth(printable(name)), true});
            it->width = std::max(it->width, displayWidth(cellText(&pair.value())));
            it->rightAligned = it->rightAligned && pair.value().is_number();
        }
    }
    return out;
}

void printLine(std::ostream &out, const std::vector<Column> &columns,
               const std::vector<std::string> &cells)
{
    std::string text;
    for (size_t n = 0; n < columns.size(); ++n) {
        const std::string padding(columns[n].width - displayWidth(cells[n]), ' ');
        text += n == 0 ? "" : "  ";
        text += columns[n].rightAligned ? padding + cells[n] : cells[n] + padding;
    }
    text.erase(text.find_last_not_of(' ') + 1);
    out << text << '\n';
}

} // namespace

std::string printable(std::string_view text)
{
    std::string out(text);
    std::replace_if(
        out.begin(), out.end(),
        [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7F; }, '?');
    return out;
}

void printRows(std::ostream &out, const json::array &rows)
{
    const std::vector<Column> columns = collectColumns(rows);
    if (columns.empty()) {
        out << "none\n";
        return;
    }
    std::vector<std::string> cells(columns.size());
    std::transform(columns.begin(), columns.end(), cells.begin(),
                   [](const Column &it) { return printable(it.name); });
    printLine(out, columns, cells);
    for (const json::value &row : rows) {
        if (!row.is_object())
            continue;
        for (size_t n = 0; n < columns.size(); ++n)
            cells[n] = cellText(row.get_object().if_contains(columns[n].name));
        printLine(out, columns, cells);
    }
}

} // namespace cardamompaddle
