// Result<T>: a value or the error that explains why there is none.
#pragma once

#include "base/error.h"
#include "base/invariant.h"

#include <optional>
#include <utility>

namespace cardamompaddle {

// Holds a T or an Error. A value type; not thread-safe.
template <typename T>
class [[nodiscard]] Result
{
public:
    Result(T value) : m_value(std::move(value)) { }
    Result(Error error) : m_error(std::move(error)) { }

    bool ok() const { return m_value.has_value(); }
    explicit operator bool() const { return ok(); }

    // Returns the value. Requires ok().
    T &value()
    {
        invariant(ok(), "Result::value without a value", m_error.reason);
        return *m_value;
    }
    const T &value() const
    {
        invariant(ok(), "Result::value without a value", m_error.reason);
        return *m_value;
    }
    T &operator*() { return value(); }
    const T &operator*() const { return value(); }
    T *operator->() { return &value(); }
    const T *operator->() const { return &value(); }

    // Returns the error. Meaningful only if ok() is false.
    const Error &error() const { return m_error; }

private:
    std::optional<T> m_value;
    Error m_error;
};

// The result of an operation that returns no value.
template <>
class [[nodiscard]] Result<void>
{
public:
    Result() = default;
    Result(Error error) : m_error(std::move(error)) { }

    bool ok() const { return !m_error.has_value(); }
    explicit operator bool() const { return ok(); }
    // Returns the error. Requires that ok() is false.
    const Error &error() const { return *m_error; }

private:
    std::optional<Error> m_error;
};

} // namespace cardamompaddle
