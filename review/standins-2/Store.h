#ifndef REVIEW_STANDINS_2_STORE_H
#define REVIEW_STANDINS_2_STORE_H

#include "Http.h"

#include <condition_variable>
#include <vector>

namespace review {

/// \class Store
/// \brief Stands in for the platform's metadata store: keyed topics with one
/// partition, long-poll reads, and the drill of the news page.
class Store {
public:
  using Topics = std::map<std::string, std::vector<std::string>>;

  Store();

  std::uint16_t port() const { return Server.port(); }
  void start() { Server.start(); }

  /// Appends the operator's configuration \p Document to op/config.
  /// \returns its offset. The call's return is the acknowledgement.
  std::size_t publish(const std::string &Document);

  /// \returns a copy of all records.
  Topics copy();

  /// Ends the process of the store. Calls can't connect.
  void goAway();

  /// Starts the store again from \p Copy, with a higher era.
  void comeBack(Topics Copy);

private:
  std::optional<HttpReply> handle(const HttpMessage &Call);
  HttpReply append(const std::string &Topic, const std::string &Body);
  HttpReply newest(const std::string &Topic, const std::string &After);
  std::optional<HttpReply> read(const std::string &Topic, std::size_t From,
                                std::int64_t WaitMillis);
  HttpReply reply(int Status, std::string Body) const;

  std::mutex Mutex;
  std::condition_variable Changed;
  Topics Records;
  unsigned Era = 1;
  bool Away = false;
  HttpServer Server;
};

} // namespace review

#endif
