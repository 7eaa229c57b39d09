#include "camphorpin/src/Daemon/RpcEnvironment.h"

#include <utility>

namespace camphorpin::detail {

namespace {

/// Room in a message beside the body: context, headers and framing.
constexpr std::size_t MessageOverhead = 256U << 10U;
constexpr std::size_t BytesPerWord = 8;

} // namespace

void RpcEnvironment::whenMayOpen(std::function<void()> Open) {
  if (Opening >= MaxOpening) {
    Waiting.push_back(std::move(Open));
    return;
  }
  ++Opening;
  Open();
}

void RpcEnvironment::openFinished() {
  --Opening;
  if (Waiting.empty())
    return;
  const std::function<void()> Next = std::move(Waiting.front());
  Waiting.pop_front();
  ++Opening;
  Next();
}

capnp::ReaderOptions RpcEnvironment::readerOptions() const {
  capnp::ReaderOptions Result;
  Result.traversalLimitInWords = maxMessageBytes() / BytesPerWord;
  return Result;
}

std::size_t RpcEnvironment::maxMessageBytes() const {
  return 2 * (Options.MaxBody + MessageOverhead);
}

void RpcEnvironment::fillIdentity(wire::Identity::Builder Target) const {
  writeProcess(Target.initProcess(), Options.Self);
  Target.setService(Options.Service.string());
  Target.setZone(Options.Zone.string());
  Target.setRegion(Options.Region.string());
}

void RpcEnvironment::taskFailed(kj::Exception && /*Error*/) {
  // A failed task is a connection that ended; its calls were answered.
}

} // namespace camphorpin::detail
