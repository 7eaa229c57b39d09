#include "RunningRequests.h"

#include <algorithm>

namespace camphorpin::standins {

bool RunningRequests::enter(Request &Value) {
  std::unique_lock<std::mutex> Lock(Mutex);
  if (Draining || Known.contains(Value.Context))
    return false;
  if (Running < Bounds.Slots) {
    ++Running;
    Value.Running = true;
    Known[Value.Context] = &Value;
    return true;
  }
  if (Waiting.size() >= Bounds.Waiting)
    return false;
  Known[Value.Context] = &Value;
  Waiting.push_back(&Value);
  Value.Wake.wait_until(Lock, Value.Deadline,
                        [&] { return Value.Running || Value.Cancelled; });
  if (Value.Running)
    return true;
  Waiting.erase(std::find(Waiting.begin(), Waiting.end(), &Value));
  Known.erase(Value.Context);
  Idle.notify_all();
  return false;
}

bool RunningRequests::work(Request &Value, std::chrono::microseconds Time) {
  std::unique_lock<std::mutex> Lock(Mutex);
  return !Value.Wake.wait_until(Lock, Clock::now() + Time,
                                [&] { return Value.Cancelled; });
}

void RunningRequests::leave(Request &Value) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Known.erase(Value.Context);
  const auto Next =
      std::find_if(Waiting.begin(), Waiting.end(),
                   [](const Request *Other) { return !Other->Cancelled; });
  if (Next != Waiting.end()) {
    (*Next)->Running = true;
    (*Next)->Wake.notify_one();
    Waiting.erase(Next);
  } else {
    --Running;
  }
  Idle.notify_all();
}

bool RunningRequests::cancel(const std::string &Context) {
  const std::lock_guard<std::mutex> Lock(Mutex);
  const auto Found = Known.find(Context);
  if (Found == Known.end())
    return false;
  Found->second->Cancelled = true;
  Found->second->Wake.notify_one();
  return true;
}

void RunningRequests::drain() {
  const std::lock_guard<std::mutex> Lock(Mutex);
  Draining = true;
}

void RunningRequests::waitUntilIdle() {
  std::unique_lock<std::mutex> Lock(Mutex);
  Idle.wait(Lock, [this] { return Known.empty(); });
}

double RunningRequests::load() const {
  const std::lock_guard<std::mutex> Lock(Mutex);
  return static_cast<double>(Known.size()) / static_cast<double>(Bounds.Slots);
}

} // namespace camphorpin::standins
