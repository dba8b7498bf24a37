// Counters, gauges and histograms with labels, exported in the Prometheus text format.
//
// Each metric is described by one constant (see metrics/names.h) whose type determines the metric's
// kind and number of labels. A series is a metric with one value for each label.
//
//     registry.counter(metric::Refused, {"overloaded"}).add();
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamompaddle {

// Upper bounds of histogram buckets, strictly increasing, in the unit given by the metric's name.
using BucketBounds = std::span<const double>;

// Description of a metric, common to all kinds.
template <size_t LabelCount>
struct MetricSpec
{
    std::string_view name; // a unit is a suffix: `_seconds`, `_bytes`, `_ratio`, `_total`
    std::string_view help; // one sentence
    std::array<std::string_view, LabelCount> labels;
};

template <size_t LabelCount>
struct CounterSpec : MetricSpec<LabelCount>
{ };

template <size_t LabelCount>
struct GaugeSpec : MetricSpec<LabelCount>
{ };

template <size_t LabelCount>
struct HistogramSpec : MetricSpec<LabelCount>
{
    BucketBounds bounds;
};

// A monotonically increasing sum. Thread-safe.
class Counter
{
public:
    // Adds `amount`. Negative amounts and NaN are ignored.
    void add(double amount = 1);
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0};
};

// A value that can increase and decrease. Thread-safe.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0};
};

// Counts values by bucket, using Boost.Histogram. Upper bounds are inclusive. Thread-safe.
class Histogram
{
public:
    // `bounds` must hold at least two strictly increasing values and outlive the histogram.
    explicit Histogram(BucketBounds bounds);
    ~Histogram();
    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    // Counts one value, in the unit of the bounds. NaN is ignored.
    void observe(double value);
    // Count of each bucket, not cumulative. The last entry counts the values above all bounds.
    std::vector<uint64_t> counts() const;
    // Sum of all observed values.
    double sum() const;
    BucketBounds bounds() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

// Owns all series of a process. Thread-safe. Returned references stay valid for the lifetime of the
// registry. Hot paths should keep the reference, because each lookup takes a lock.
class Registry
{
public:
    // Once a metric has `maxSeries` series, new label values are counted in one shared series whose
    // labels are all "other". This bounds the memory used for names that callers choose.
    explicit Registry(size_t maxSeries = 2000);
    ~Registry();
    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    // Return the series of `spec` with the given label values, which are in the order of
    // `spec.labels`. The series is created on first use. Descriptions with the same name must be of
    // the same kind.
    template <size_t N>
    Counter &counter(const CounterSpec<N> &spec, const std::array<std::string_view, N> &values)
    {
        return counterSeries(spec.name, spec.help, spec.labels, values);
    }
    template <size_t N>
    Gauge &gauge(const GaugeSpec<N> &spec, const std::array<std::string_view, N> &values)
    {
        return gaugeSeries(spec.name, spec.help, spec.labels, values);
    }
    template <size_t N>
    Histogram &histogram(const HistogramSpec<N> &spec,
                         const std::array<std::string_view, N> &values)
    {
        return histogramSeries(spec.name, spec.help, spec.labels, values, spec.bounds);
    }
    Counter &counter(const CounterSpec<0> &spec) { return counter(spec, {}); }
    Gauge &gauge(const GaugeSpec<0> &spec) { return gauge(spec, {}); }
    Histogram &histogram(const HistogramSpec<0> &spec) { return histogram(spec, {}); }

    // Returns all series in the Prometheus text format 0.0.4, ordered by name and label values.
    std::string exposition() const;

private:
    using StringViews = std::span<const std::string_view>;
    struct Family;

    Counter &counterSeries(std::string_view name, std::string_view help, StringViews labels,
                           StringViews values);
    Gauge &gaugeSeries(std::string_view name, std::string_view help, StringViews labels,
                       StringViews values);
    Histogram &histogramSeries(std::string_view name, std::string_view help, StringViews labels,
                               StringViews values, BucketBounds bounds);
    Family &family(std::string_view name, std::string_view help, StringViews labels);

    const size_t m_maxSeries;
    mutable std::mutex m_mutex;
    std::map<std::string, Family, std::less<>> m_families;
};

} // namespace cardamompaddle
