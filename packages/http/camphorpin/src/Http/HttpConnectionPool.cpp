#include "camphorpin/src/Http/HttpConnectionPool.h"

#include <algorithm>

namespace camphorpin {

std::shared_ptr<HttpConnection> HttpConnectionPool::open() {
  return std::make_shared<HttpConnection>(Loop, Address, Budget);
}

std::shared_ptr<HttpConnection>
HttpConnectionPool::acquire(std::string_view Id) {
  while (true) {
    const auto Found =
        std::find_if(Idle.rbegin(), Idle.rend(),
                     [Id](const std::shared_ptr<HttpConnection> &Connection) {
                       return Connection->mayCarry(Id);
                     });
    if (Found == Idle.rend())
      return open();
    std::shared_ptr<HttpConnection> Latest = std::move(*Found);
    Idle.erase(std::next(Found).base());
    if (Latest->reusable())
      return Latest;
    Latest->close();
  }
}

void HttpConnectionPool::release(
    const std::shared_ptr<HttpConnection> &Connection) {
  if (Connection->reusable())
    Idle.push_back(Connection);
  else
    Connection->close();
}

void HttpConnectionPool::clear() {
  for (const std::shared_ptr<HttpConnection> &Connection : Idle)
    Connection->close();
  Idle.clear();
}

void HttpConnectionPool::prune() {
  const auto First =
      std::partition(Idle.begin(), Idle.end(),
                     [](const std::shared_ptr<HttpConnection> &Connection) {
                       return Connection->reusable();
                     });
  std::for_each(First, Idle.end(),
                [](const std::shared_ptr<HttpConnection> &Connection) {
                  Connection->close();
                });
  Idle.erase(First, Idle.end());
}

} // namespace camphorpin
