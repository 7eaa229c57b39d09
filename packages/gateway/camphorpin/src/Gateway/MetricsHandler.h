#ifndef CAMPHORPIN_SRC_GATEWAY_METRICSHANDLER_H
#define CAMPHORPIN_SRC_GATEWAY_METRICSHANDLER_H

#include "camphorpin/src/Daemon/Metrics.h"
#include "camphorpin/src/Gateway/AsyncHttpServer.h"

#include <functional>
#include <vector>

namespace camphorpin {

/// \class MetricsHandler
/// \brief Serves counters, histograms and gauges at /metrics.
class MetricsHandler final : public HttpRequestHandler {
public:
  /// \param Gauges returns the current gauges of the node.
  MetricsHandler(Metrics &RequestMetrics,
                 std::function<std::vector<Gauge>()> Gauges)
      : RequestMetrics(RequestMetrics), Gauges(std::move(Gauges)) {}

  void onRequest(const std::shared_ptr<HttpExchange> &Exchange) override;

private:
  Metrics &RequestMetrics;
  std::function<std::vector<Gauge>()> Gauges;
};

} // namespace camphorpin

#endif
