#include "camphorpin/src/Gateway/StoreAccess.h"

#include <utility>

namespace camphorpin {

StoreAccess::StoreAccess(EventLoop &Loop, const Clock &Time,
                         Random &RandomSource, const GatewaySettings &Settings,
                         const PlatformProtocol &Protocol, EventLog &Log,
                         UpdateDisseminator &Disseminator,
                         StoreRecordListener &Listener)
    : Time(Time), Node(Settings.Node), Log(Log), Disseminator(Disseminator),
      Listener(Listener),
      ConfigurationReader(Loop, Time, RandomSource, Settings.StoreAddress,
                          Protocol, StoreFeed::Configuration, *this),
      MemberReader(Loop, Time, RandomSource, Settings.StoreAddress, Protocol,
                   StoreFeed::Members, *this),
      MemberWriter(Loop, Time, RandomSource, Settings.StoreAddress, Protocol,
                   StoreFeed::Members,
                   [this](std::uint64_t Answered) { onStoreEra(Answered); }),
      Departures(Loop, Time, RandomSource, Settings.StoreAddress, Protocol,
                 Settings.Node) {}

void StoreAccess::start() {
  ConfigurationReader.start();
  MemberReader.start();
}

void StoreAccess::writeOwnRecord(std::string Record) {
  MemberWriter.write({Node, std::move(Record)});
}

void StoreAccess::onReachable(StoreFeed Feed, bool Reachable) {
  Log.write(Reachable ? LogEvent::StoreReachable : LogEvent::StoreUnreachable,
            {{"feed", detail::nameOf(Feed)}});
  // The open read of the other feed may have stalled at the same time.
  if (Feed == StoreFeed::Configuration && Reachable)
    MemberReader.restartRead();
  update();
}

void StoreAccess::onReadFailed(StoreFeed Feed,
                               const StoreReadFailure &Failure) {
  Log.write(LogEvent::StoreReadFailed,
            {{"feed", detail::nameOf(Feed)},
             {"reason", detail::nameOf(Failure.Reason)},
             {"elapsedMs", std::to_string(Failure.Elapsed.wholeMillis())},
             {"failures", std::to_string(Failure.Failures)},
             {"retryMs", std::to_string(Failure.RetryDelay.wholeMillis())}});
}

void StoreAccess::onEraChanged(StoreFeed Feed, const StoreEraChange &Change) {
  if (Change.Before)
    Log.write(LogEvent::StoreEraChanged,
              {{"feed", detail::nameOf(Feed)},
               {"era", std::to_string(Change.Now)},
               {"before", std::to_string(*Change.Before)},
               {"position", std::to_string(Change.Position)}});
  onStoreEra(Change.Now);
}

void StoreAccess::onStoreEra(std::uint64_t Answered) {
  if (!Era.onAnswer(Answered))
    return;
  // An open read may have stalled.
  ConfigurationReader.onStoreEra(Answered);
  MemberReader.onStoreEra(Answered);
  MemberWriter.onStoreEra(Answered);
  Departures.onStoreEra(Answered);
  // Nodes that don't read the store have to write their records again, too.
  Disseminator.onStateChanged();
}

void StoreAccess::checkAnnouncedEra(const PeerDigest &Received) {
  // The acknowledgement of a write tells the era.
  if (MemberWriter.idle() && Era.onAnnouncement(Received.StoreEra, Time.now()))
    MemberWriter.writeAgain();
}

void StoreAccess::update() {
  if (Disseminator.shouldReadStore()) {
    ConfigurationReader.resume();
    MemberReader.resume();
  }
  Disseminator.onStoreReachability(ConfigurationReader.isReading() &&
                                   MemberReader.isReading());
}

} // namespace camphorpin
