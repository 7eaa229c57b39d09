#include "LogStore.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace camphorpin::standins {

std::uint64_t LogStore::append(std::string Record) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Records.push_back(std::move(Record));
  const std::uint64_t Offset = First + Records.size() - 1;
  if (Records.size() > Retention) {
    Records.pop_front();
    ++First;
  }
  return Offset;
}

std::string LogStore::read(std::uint64_t From, std::size_t Max) const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const std::uint64_t End = First + Records.size();
  std::uint64_t Next = std::clamp(From, First, End);
  nlohmann::json Entries = nlohmann::json::array();
  for (; Next < End && Entries.size() < Max; ++Next)
    Entries.push_back({{"offset", Next}, {"body", Records[Next - First]}});
  return nlohmann::json{{"first", First}, {"next", Next}, {"records", Entries}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace camphorpin::standins
