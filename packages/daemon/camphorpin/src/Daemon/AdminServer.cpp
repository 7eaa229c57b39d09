#include "camphorpin/src/Daemon/AdminServer.h"

namespace camphorpin {

namespace {

constexpr const char *JsonType = "application/json";
constexpr const char *MetricsType = "text/plain; version=0.0.4";
/// Operators and a metrics collector need few connections.
constexpr std::size_t AdminThreads = 4;
constexpr std::size_t MaxAdminBody = 65536;

HttpLimits adminLimits() {
  HttpLimits Limits;
  Limits.Body = MaxAdminBody;
  Limits.Threads = AdminThreads;
  return Limits;
}

} // namespace

AdminServer::AdminServer(AdminSource &Source)
    : Source(Source),
      Server(
          adminLimits(),
          [this](const httplib::Request &Request, std::string &&,
                 httplib::Response &Response) { handle(Request, Response); }) {}

void AdminServer::handle(const httplib::Request &Request,
                         httplib::Response &Response) {
  const bool IsGet = Request.method == "GET";
  if (IsGet && Request.path == "/metrics") {
    Response.set_content(Source.metrics(), MetricsType);
  } else if (IsGet && Request.path == "/status") {
    Response.set_content(Source.status(), JsonType);
  } else if (IsGet && Request.path == "/explain") {
    Response.set_content(Source.explain(Request.get_param_value("service"),
                                        Request.get_param_value("operation")),
                         JsonType);
  } else if (Request.method == "POST" && Request.path == "/drain") {
    Source.drain();
    Response.status = 202;
  } else {
    Response.status = 404;
  }
}

} // namespace camphorpin
