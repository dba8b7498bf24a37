// Reads typed fields from the JSON bodies of requests. An unknown field or a field of the wrong
// type is an error that names the field.
#pragma once

#include "base/result.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace cardamompaddle {

// A JSON object whose fields are read one by one. The first error is kept until finish(). The
// getters return no value if the field is absent or invalid. Not thread-safe.
class JsonInput
{
public:
    // Errors: InvalidArgument if `body` is not a JSON object.
    static Result<JsonInput> create(std::string_view body);

    std::optional<std::string> text(std::string_view field);
    // The bounds are inclusive.
    std::optional<int64_t> integer(std::string_view field, int64_t min, int64_t max);
    std::optional<bool> boolean(std::string_view field);
    std::optional<JsonInput> object(std::string_view field);

    // Records an error if the field is absent.
    void require(std::string_view field);
    // Returns the first error of any call, or an error for a field that was never read. Errors:
    // InvalidArgument.
    Result<void> finish();

private:
    JsonInput(boost::json::object object, std::string prefix);
    const boost::json::value *read(std::string_view field);
    void recordError(std::string_view field, std::string_view reason);

    boost::json::object m_object;
    std::string m_prefix; // path of the enclosing field, for error messages
    std::set<std::string, std::less<>> m_readFields;
    std::optional<Error> m_error;
};

} // namespace cardamompaddle
