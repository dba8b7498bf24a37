#include "metrics/registry.h"

#include "base/invariant.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <charconv>
#include <cmath>
#include <limits>
#include <variant>

namespace cardamompaddle {
namespace {

namespace bh = boost::histogram;
using Axis = bh::axis::variable<double>;
using Storage = bh::dense_storage<bh::accumulators::count<uint64_t, true>>;
using Buckets = bh::histogram<std::tuple<Axis>, Storage>;

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buf{};
    const auto end = std::to_chars(buf.data(), buf.data() + buf.size(), value).ptr;
    return {buf.data(), end};
}

std::string escape(std::string_view text, bool quotes)
{
    std::string out;
    out.reserve(text.size());
    for (const char c : text) {
        if (c == '\\')
            out += "\\\\";
        else if (c == '\n')
            out += "\\n";
        else if (c == '"' && quotes)
            out += "\\\"";
        else
            out += c;
    }
    return out;
}

// Formats the label set of a sample. `extraPair`, if not empty, is an already formatted pair such
// as le="0.1" that is appended.
std::string formatLabels(const std::vector<std::string> &names,
                         const std::vector<std::string> &values, std::string_view extraPair = {})
{
    std::string out;
    for (size_t n = 0; n < names.size(); ++n) {
        out += out.empty() ? "" : ",";
        out += names[n] + "=\"" + escape(values[n], true) + '"';
    }
    if (!extraPair.empty()) {
        out += out.empty() ? "" : ",";
        out += extraPair;
    }
    return out.empty() ? out : "{" + out + "}";
}

std::string formatSample(const std::string &name, const std::string &labels, double value)
{
    return name + labels + ' ' + formatNumber(value) + '\n';
}

} // namespace

void Counter::add(double amount)
{
    if (amount > 0)
        m_value.fetch_add(amount, std::memory_order_relaxed);
}

struct Histogram::Impl
{
    explicit Impl(BucketBounds edges)
        : buckets(std::make_tuple(Axis(edges.begin(), edges.end()))), bounds(edges)
    { }

    Buckets buckets;
    BucketBounds bounds;
    std::atomic<double> sum{0};
};

Histogram::Histogram(BucketBounds bounds) : m_impl(std::make_unique<Impl>(bounds)) { }

Histogram::~Histogram() = default;

void Histogram::observe(double value)
{
    if (std::isnan(value))
        return;
    // Boost's buckets include their lower bound; those of the text format include the upper one.
    // The next smaller value makes a value equal to a bound count in the bucket below that bound.
    m_impl->buckets(std::nextafter(value, -std::numeric_limits<double>::infinity()));
    m_impl->sum.fetch_add(value, std::memory_order_relaxed);
}

std::vector<uint64_t> Histogram::counts() const
{
    std::vector<uint64_t> out;
    const int bins = m_impl->buckets.axis().size();
    for (int n = -1; n <= bins; ++n)
        out.push_back(m_impl->buckets.at(n).value());
    return out;
}

double Histogram::sum() const
{
    return m_impl->sum.load(std::memory_order_relaxed);
}

BucketBounds Histogram::bounds() const
{
    return m_impl->bounds;
}

struct Registry::Family
{
    using Series = std::variant<std::monostate, std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
                                std::unique_ptr<Histogram>>;

    std::string help;
    std::vector<std::string> labels;
    std::map<std::vector<std::string>, Series> series;

    // Returns the series with these label values. If it does not exist, it is constructed with
    // `arguments`.
    template <typename T, typename... Arguments>
    T &findOrCreate(StringViews values, size_t maxSeries, Arguments... arguments)
    {
        std::vector<std::string> key(values.begin(), values.end());
        auto it = series.find(key);
        if (it == series.end() && series.size() >= maxSeries)
            key.assign(key.size(), "other");
        if (it == series.end())
            it = series.try_emplace(std::move(key)).first;
        if (std::holds_alternative<std::monostate>(it->second))
            it->second = std::make_unique<T>(arguments...);
        invariant(it->second.index() == series.begin()->second.index()
                      && std::holds_alternative<std::unique_ptr<T>>(it->second),
                  "all series of a metric are of the same kind", help);
        return *std::get<std::unique_ptr<T>>(it->second);
    }

    void write(const std::string &name, std::string &out) const;
    void writeHistogram(const std::string &name, const std::vector<std::string> &values,
                        const Histogram &histogram, std::string &out) const;
};

void Registry::Family::write(const std::string &name, std::string &out) const
{
    static constexpr std::array<std::string_view, 4> Kinds = {"untyped", "counter", "gauge",
                                                              "histogram"};
    if (series.empty())
        return;
    out += "# HELP " + name + ' ' + escape(help, false) + '\n';
    out += "# TYPE " + name + ' ' + std::string(Kinds.at(series.begin()->second.index())) + '\n';
    for (const auto &[values, it] : series) {
        if (const auto *counter = std::get_if<std::unique_ptr<Counter>>(&it))
            out += formatSample(name, formatLabels(labels, values), (*counter)->value());
        else if (const auto *gauge = std::get_if<std::unique_ptr<Gauge>>(&it))
            out += formatSample(name, formatLabels(labels, values), (*gauge)->value());
        else if (const auto *histogram = std::get_if<std::unique_ptr<Histogram>>(&it))
            writeHistogram(name, values, **histogram, out);
    }
}

void Registry::Family::writeHistogram(const std::string &name,
                                      const std::vector<std::string> &values,
                                      const Histogram &histogram, std::string &out) const
{
    const std::vector<uint64_t> counts = histogram.counts();
    uint64_t total = 0;
    for (size_t n = 0; n < counts.size(); ++n) {
        total += counts[n];
        const double bound = n < histogram.bounds().size()
                                 ? histogram.bounds()[n]
                                 : std::numeric_limits<double>::infinity();
        const std::string boundLabel = "le=\"" + formatNumber(bound) + '"';
        out += formatSample(name + "_bucket", formatLabels(labels, values, boundLabel),
                            static_cast<double>(total));
    }
    out += formatSample(name + "_sum", formatLabels(labels, values), histogram.sum());
    out += formatSample(name + "_count", formatLabels(labels, values), static_cast<double>(total));
}

Registry::Registry(size_t maxSeries) : m_maxSeries(maxSeries) { }

Registry::~Registry() = default;

Registry::Family &Registry::family(std::string_view name, std::string_view help, StringViews labels)
{
    auto it = m_families.find(name);
    if (it == m_families.end()) {
        it = m_families.try_emplace(std::string(name)).first;
        it->second.help = help;
        it->second.labels.assign(labels.begin(), labels.end());
    }
    return it->second;
}

Counter &Registry::counterSeries(std::string_view name, std::string_view help, StringViews labels,
                                 StringViews values)
{
    const std::scoped_lock lock(m_mutex);
    return family(name, help, labels).findOrCreate<Counter>(values, m_maxSeries);
}

Gauge &Registry::gaugeSeries(std::string_view name, std::string_view help, StringViews labels,
                             StringViews values)
{
    const std::scoped_lock lock(m_mutex);
    return family(name, help, labels).findOrCreate<Gauge>(values, m_maxSeries);
}

Histogram &Registry::histogramSeries(std::string_view name, std::string_view help,
                                     StringViews labels, StringViews values, BucketBounds bounds)
{
    const std::scoped_lock lock(m_mutex);
    return family(name, help, labels).findOrCreate<Histogram>(values, m_maxSeries, bounds);
}

std::string Registry::exposition() const
{
    const std::scoped_lock lock(m_mutex);
    std::string out;
    for (const auto &[name, it] : m_families)
        it.write(name, out);
    return out;
}

} // namespace cardamompaddle
