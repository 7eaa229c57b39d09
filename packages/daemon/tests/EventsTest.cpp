// Guards operators' tools: the documented catalogue of log events is the one in
// the code, and a storm of one event does not become a storm of lines.
#include "camphorpin/src/Daemon/EventLog.h"
#include "camphorpin/src/Daemon/Metrics.h"

#include <criterion/criterion.h>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

using namespace camphorpin;

namespace {

std::string readFile(const std::string &Path) {
  std::stringstream Text;
  Text << std::ifstream(Path).rdbuf();
  return Text.str();
}

/// \returns the table of docs/events.md as the code has it.
std::string catalogueTable() {
  std::string Text = "| number | severity | name | fields | meaning |\n"
                     "|--------|----------|------|--------|---------|\n";
  for (const LogEventInfo &Entry : logEventCatalogue()) {
    Text += "| " + std::to_string(static_cast<std::uint16_t>(Entry.Event)) +
            " | " + std::string(toString(Entry.Severity)) + " | " +
            std::string(Entry.Name) + " | " + std::string(Entry.Fields) +
            " | " + std::string(Entry.Meaning) + " |\n";
  }
  return Text;
}

std::size_t countLines(const std::string &Text, std::string_view Part) {
  std::size_t Count = 0;
  for (std::size_t At = Text.find(Part); At != std::string::npos;
       At = Text.find(Part, At + 1))
    ++Count;
  return Count;
}

} // namespace

Test(Events, documentedCatalogueIsTheOneInTheCode) {
  const std::string Documented =
      readFile(CAMPHORPIN_SOURCE_DIR "/docs/events.md");
  const std::string Expected = catalogueTable();
  cr_assert(Documented.find(Expected) != std::string::npos,
            "docs/events.md should contain:\n%s", Expected.c_str());
  std::uint16_t Last = 0;
  for (const LogEventInfo &Entry : logEventCatalogue()) {
    cr_assert_gt(static_cast<std::uint16_t>(Entry.Event), Last);
    Last = static_cast<std::uint16_t>(Entry.Event);
  }
}

Test(Events, linesAreStructuredAndValuesCannotAddFields) {
  cr_assert_eq(EventLog::format(LogEvent::ConnectionFailed,
                                {{"peer", "127.0.0.1:7001"},
                                 {"error", "no\nroute level=\"x\""}},
                                3),
               std::string("event=201 name=connection-failed "
                           "peer=127.0.0.1:7001 "
                           "error=\"no'route level='x'\" leftOut=3"));
}

Test(Events, stormOfOneEventIsLimited) {
  const std::string File =
      "/tmp/camphorpin-events-" + std::to_string(::getpid()) + ".log";
  ManualClock Time;
  EventLog Log({"info", File}, Time);
  for (int Count = 0; Count < 1000; ++Count)
    Log.write(LogEvent::ConnectionFailed, {{"peer", "p"}});
  Time.advance(Duration::seconds(1));
  Log.write(LogEvent::ConnectionFailed, {{"peer", "p"}});
  const std::string Text = readFile(File);
  std::remove(File.c_str());
  cr_assert_eq(countLines(Text, "event=201"), EventLog::MaxPerSecond + 1);
  cr_assert_eq(countLines(Text, "leftOut=980"), 1);
}

// Guards memory: a caller chooses its own name, so names must not make series
// without end.
Test(Metrics, numberOfCallersIsBounded) {
  Metrics Values;
  for (int Index = 0; Index < 1000; ++Index)
    Values.record({.Caller = CallerName("c" + std::to_string(Index)),
                   .Verdict = Verdict::Ran,
                   .Elapsed = Duration::fromMillis(1.3)});
  const std::string Text = Values.toText({{"some_gauge", "Help.", 3}});
  cr_assert_eq(countLines(Text, "camphorpin_requests_total{"),
               Metrics::MaxCallers + 1);
  cr_assert(Text.find("caller=\"other\",rank=\"0\",verdict=\"ran\",reason="
                      "\"none\"} 968\n") != std::string::npos);
  cr_assert(Text.find("caller=\"c0\",rank=\"0\",le=\"1\"} 0\n") !=
            std::string::npos);
  cr_assert(Text.find("caller=\"c0\",rank=\"0\",le=\"1.4\"} 1\n") !=
            std::string::npos);
  cr_assert(Text.find("# TYPE some_gauge gauge\nsome_gauge 3\n") !=
            std::string::npos);
}
