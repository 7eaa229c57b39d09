#include "LoadPlan.h"

#include <cstdio>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace camphorpin::standins {

namespace {

LoadStream parseStream(const nlohmann::json &Root) {
  LoadStream Stream;
  Stream.Service = Root.at("service").get<std::string>();
  Stream.Operation = Root.at("operation").get<std::string>();
  Stream.Caller = Root.value("caller", Stream.Caller);
  Stream.Rank = Root.value("rank", Stream.Rank);
  Stream.Rate = Root.value("rate", Stream.Rate);
  Stream.DeadlineMs = Root.value("deadlineMs", Stream.DeadlineMs);
  Stream.Keyed = Root.value("keyed", Stream.Keyed);
  Stream.AnswerBytes = Root.value("answerBytes", Stream.AnswerBytes);
  Stream.Duplicates = Root.value("duplicates", Stream.Duplicates);
  Stream.Resends = Root.value("resends", Stream.Resends);
  Stream.ResendPauseMs = Root.value("resendPauseMs", Stream.ResendPauseMs);
  Stream.Crash = Root.value("crash", Stream.Crash);
  return Stream;
}

} // namespace

LoadPlan parsePlan(std::string_view Json) {
  try {
    const nlohmann::json Root =
        nlohmann::json::parse(Json, nullptr, true, true);
    LoadPlan Plan;
    Plan.Seed = Root.value("seed", Plan.Seed);
    Plan.DurationMs = Root.value("durationMs", Plan.DurationMs);
    Plan.Threads = Root.value("threads", Plan.Threads);
    Plan.GraceMs = Root.value("graceMs", Plan.GraceMs);
    Plan.LossAllowed = Root.value("lossAllowed", Plan.LossAllowed);
    for (const nlohmann::json &Target : Root.at("targets"))
      Plan.Targets.push_back(parseEndpoint(Target.get<std::string>()));
    for (const nlohmann::json &Stream : Root.at("streams"))
      Plan.Streams.push_back(parseStream(Stream));
    return Plan;
  } catch (const nlohmann::json::exception &Error) {
    std::fprintf(stderr, "load plan: %s\n", Error.what());
    std::exit(2);
  }
}

} // namespace camphorpin::standins
