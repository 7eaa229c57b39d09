#ifndef CAMPHORPIN_SRC_DAEMON_BUCKETCOUNTS_H
#define CAMPHORPIN_SRC_DAEMON_BUCKETCOUNTS_H

#include <algorithm>
#include <array>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/accumulators/numeric/functional.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstddef>
#include <cstdint>

namespace camphorpin {

/// \brief Upper bounds of the buckets of durations, in ms. 1.4 ms is the target
/// for added latency; 14 s is the target for configuration.
inline constexpr std::array<double, 14> BucketBounds = {
    0.5, 1, 1.4, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 5000, 14000};

/// \brief Counts by bucket; the last one is above all bounds.
using BucketArray = std::array<std::uint64_t, BucketBounds.size() + 1>;

namespace detail {

/// \class BucketCountsImpl
/// \brief A Boost accumulator that counts samples by fixed buckets.
///
/// boost::accumulators::tag::density is not used: it fixes its buckets by the
/// first samples, so the series of two nodes could not be added.
template <class Sample>
struct BucketCountsImpl : boost::accumulators::accumulator_base {
  using result_type = const BucketArray &;

  explicit BucketCountsImpl(boost::accumulators::dont_care /*Args*/) {}

  template <class Args> void operator()(const Args &Arguments) {
    const double Value = Arguments[boost::accumulators::sample];
    const auto Bound =
        std::lower_bound(BucketBounds.begin(), BucketBounds.end(), Value);
    ++Counts[static_cast<std::size_t>(Bound - BucketBounds.begin())];
  }

  result_type result(boost::accumulators::dont_care /*Args*/) const {
    return Counts;
  }

private:
  BucketArray Counts{};
};

} // namespace detail

/// \class BucketCounts
/// \brief The feature of an accumulator set.
struct BucketCounts : boost::accumulators::depends_on<> {
  using impl = detail::BucketCountsImpl<boost::mpl::_1>;
};

/// \brief Buckets, number and sum of durations in ms.
using DurationHistogram = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<BucketCounts, boost::accumulators::tag::count,
                               boost::accumulators::tag::sum>>;

} // namespace camphorpin

#endif
