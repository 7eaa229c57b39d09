// Prints the slopes of membership over the number of members: bytes sent per
// node and second, processor time per node and second, memory of the table, and
// the time until a leaving notice has reached all nodes.
#include "GossipFleet.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

using namespace camphorpin;
using camphorpin::test::GossipFleet;

namespace {

constexpr std::size_t Zones = 9;
// Restarts, replacements and failures a day at the target, per member.
constexpr double ChurnPerMemberAndDay = 2715.0 / 7100.0;
constexpr double SecondsPerDay = 86400;

double processorSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t allocatedBytes() { return mallinfo2().uordblks; }

void measure(std::size_t Count) {
  const std::size_t Before = allocatedBytes();
  GossipFleet Fleet;
  Fleet.startJoined(Count, Zones);
  const double MemoryPerNode = static_cast<double>(allocatedBytes() - Before) /
                               static_cast<double>(Count);

  const double RestartsPerSecond =
      ChurnPerMemberAndDay / SecondsPerDay * static_cast<double>(Count);
  const int Seconds = 120;
  double Due = 0.5;
  std::size_t Next = 1;
  const double Started = processorSeconds();
  for (int Second = 0; Second < Seconds; ++Second) {
    for (Due += RestartsPerSecond; Due >= 1; Due -= 1) {
      Fleet.node(Next).Protocol.leave(Fleet.Now);
      Fleet.restart(Next, Zones, 2);
      Next = 1 + (Next + 7) % (Count - 1);
    }
    Fleet.run(Duration::seconds(1));
  }
  const double Processor = processorSeconds() - Started;
  const double NodeSeconds = static_cast<double>(Count) * Seconds;
  const double Bytes =
      static_cast<double>(Fleet.total(&GossipFleet::Node::SentBytes));

  Fleet.node(3).Protocol.leave(Fleet.Now);
  Duration Spread;
  while (Fleet.countSeeing(3, MemberState::Leaving) < Count &&
         Spread < Duration::seconds(60)) {
    Fleet.run(GossipFleet::Step);
    Spread += GossipFleet::Step;
  }
  std::printf("%6zu %14.0f %18.2f %14.0f %16.1f\n", Count, Bytes / NodeSeconds,
              1e6 * Processor / NodeSeconds, MemoryPerNode / 1024,
              Spread.toMillis() / 1000);
}

} // namespace

int main(int Argc, char **Argv) {
  std::printf("%6s %14s %18s %14s %16s\n", "nodes", "sent bytes/s",
              "processor us/s", "memory KB", "leaving seen s");
  if (Argc > 1) {
    measure(std::strtoul(Argv[1], nullptr, 10));
    return 0;
  }
  for (std::size_t Count : {100, 200, 400, 800, 1600})
    measure(Count);
  return 0;
}
