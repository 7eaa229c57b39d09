#include "camphorpin/src/Engine/LogEvent.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace camphorpin {

namespace {

constexpr std::array Catalogue = {
    LogEventInfo{LogEvent::NodeStarted, LogSeverity::Info, "node-started",
                 "address,service,zone,region",
                 "All addresses are bound and the threads are running."},
    LogEventInfo{LogEvent::StateChanged, LogSeverity::Info, "state-changed",
                 "from,to", "The lifecycle state of the node has changed."},
    LogEventInfo{LogEvent::DrainRequested, LogSeverity::Info, "drain-requested",
                 "inProgress",
                 "A signal or an operator requested a drain. New work is "
                 "refused and accepted work is completed."},
    LogEventInfo{
        LogEvent::NodeEnded, LogSeverity::Info, "node-ended", "",
        "All accepted requests have been answered; the process exits."},
    LogEventInfo{LogEvent::SettingsReloaded, LogSeverity::Info,
                 "settings-reloaded", "applied,needRestart",
                 "The settings were reloaded. The applied fields are in force; "
                 "the others take effect after a restart."},
    LogEventInfo{LogEvent::SettingsRejected, LogSeverity::Error,
                 "settings-rejected", "field,error",
                 "The reloaded settings are invalid. The previous settings "
                 "stay in force; correct the file."},
    LogEventInfo{LogEvent::HandlerFailed, LogSeverity::Error, "handler-failed",
                 "error",
                 "An unexpected error ended the handling of one event. The "
                 "node goes on; report the error."},
    LogEventInfo{LogEvent::ConnectionOpened, LogSeverity::Debug,
                 "connection-opened", "peer",
                 "A connection to another node is open."},
    LogEventInfo{LogEvent::ConnectionFailed, LogSeverity::Warning,
                 "connection-failed", "peer,error",
                 "A connection to another node could not be opened. Calls that "
                 "waited for it are refused as not run."},
    LogEventInfo{LogEvent::ConnectionReplaced, LogSeverity::Warning,
                 "connection-replaced", "peer,calls",
                 "A connection made no progress while a new one answered. It "
                 "is closed; its calls may have run. Check the network between "
                 "the hosts if this recurs."},
    LogEventInfo{LogEvent::VersionMismatch, LogSeverity::Error,
                 "version-mismatch", "peer",
                 "This node and the other node support no common protocol "
                 "version. Finish the rollout that left one of them more than "
                 "one version behind."},
    LogEventInfo{
        LogEvent::MessageRejected, LogSeverity::Warning, "message-rejected",
        "peer,kind",
        "A message of another node violates the protocol and was rejected."},
    LogEventInfo{LogEvent::RequestRejected, LogSeverity::Debug,
                 "request-rejected", "remote,status",
                 "An HTTP request is malformed or exceeds a limit."},
    LogEventInfo{
        LogEvent::NodeOverloaded, LogSeverity::Warning, "node-overloaded",
        "ring",
        "An internal ring buffer is full and work is refused as not run."},
    LogEventInfo{LogEvent::MemberChanged, LogSeverity::Debug, "member-changed",
                 "member,service,state",
                 "The record of another member is new or has changed."},
    LogEventInfo{
        LogEvent::ZoneChanged, LogSeverity::Warning, "zone-changed",
        "zone,reachable",
        "A whole availability zone became unreachable or reachable again. The "
        "members of an unreachable zone are kept, and routing avoids them."},
    LogEventInfo{LogEvent::SelfRenewed, LogSeverity::Warning, "self-renewed",
                 "incarnation",
                 "A later incarnation of this node's address was received, for "
                 "example because the wall clock was set back. The node has "
                 "taken a higher one."},
    LogEventInfo{LogEvent::LogUnreachable, LogSeverity::Warning,
                 "log-unreachable", "",
                 "A read of the platform's log failed. The configuration stays "
                 "in force, and non-idempotent requests are accepted until the "
                 "log silence bound is exceeded."},
    LogEventInfo{LogEvent::LogReachable, LogSeverity::Info, "log-reachable", "",
                 "The platform's log can be read again."},
    LogEventInfo{LogEvent::DocumentInForce, LogSeverity::Info,
                 "document-in-force", "document,version",
                 "A version of a document is in force on this node."},
    LogEventInfo{LogEvent::DocumentRejected, LogSeverity::Error,
                 "document-rejected", "document,faults",
                 "A document that the log accepted is invalid. The previous "
                 "content stays in force; publish a corrected version."},
    LogEventInfo{LogEvent::ChangeConflict, LogSeverity::Info, "change-conflict",
                 "document,changeId,base,inForce",
                 "A change is based on another version of the document than "
                 "the one in force and has no effect."},
    LogEventInfo{LogEvent::RecordInvalid, LogSeverity::Warning,
                 "record-invalid", "",
                 "A record of the log is malformed and was skipped."},
    LogEventInfo{LogEvent::AppendFailed, LogSeverity::Warning, "append-failed",
                 "detail",
                 "A record was not appended to the log, or the response was "
                 "lost. The append is retried for as long as the record is "
                 "needed."},
    LogEventInfo{
        LogEvent::SnapshotRejected, LogSeverity::Error, "snapshot-rejected",
        "peer,other",
        "Two nodes sent this starting node different configurations for the "
        "same offset of the log. It requests the configuration from other "
        "nodes. Compare the versions that both nodes report."},
    LogEventInfo{LogEvent::BackendCrashed, LogSeverity::Error,
                 "backend-crashed", "running",
                 "The local backend server lost its connections and accepts no "
                 "new ones. The requests that were running are suspected of "
                 "causing the crash."},
    LogEventInfo{LogEvent::BackendRecovered, LogSeverity::Info,
                 "backend-recovered", "",
                 "The local backend server answers again."},
    LogEventInfo{
        LogEvent::BackendChanged, LogSeverity::Info, "backend-changed",
        "backend,phase,slots,sequence",
        "The local backend server started, began to drain or left. The "
        "phase is 0 (ready), 1 (draining) or 2 (gone), and sequence is "
        "the number of its report."},
    LogEventInfo{LogEvent::ReportRejected, LogSeverity::Warning,
                 "report-rejected", "backend",
                 "A report of a backend server is malformed and was rejected."},
    LogEventInfo{LogEvent::RequestRetried, LogSeverity::Info, "request-retried",
                 "request,node,backend,reason,status,sends",
                 "A request is retried on another backend server."},
    LogEventInfo{LogEvent::RequestFailed, LogSeverity::Info, "request-failed",
                 "request,route,service,status,reason,node,sends,refusals,"
                 "elapsedMs,configuration",
                 "A caller received a refusal or a failure. The node is the "
                 "last one to which the request was sent."},
    LogEventInfo{LogEvent::RequestTurnedAway, LogSeverity::Info,
                 "request-turned-away", "request,reason",
                 "A node that is stopping or has no configuration refused a "
                 "request as not run."},
    LogEventInfo{LogEvent::RunFailed, LogSeverity::Info, "run-failed",
                 "request,route,backend,reason,status,verdict,runMs,running,"
                 "queued,limit,bound",
                 "The gate beside a backend server refused a request, or its "
                 "run did not succeed. The counts are those of the gate; bound "
                 "is the route's bound on active runs, 0 for none."},
    LogEventInfo{LogEvent::ConfigurationInForce, LogSeverity::Info,
                 "configuration-in-force", "version,origin,peer,routes",
                 "A configuration from the store or from a peer is in force on "
                 "this node."},
    LogEventInfo{LogEvent::StoreUnreachable, LogSeverity::Warning,
                 "store-unreachable", "feed",
                 "A feed of the platform's store (configuration or members) "
                 "cannot be read. The known state stays in force, and updates "
                 "are requested from peers."},
    LogEventInfo{LogEvent::StoreReachable, LogSeverity::Info, "store-reachable",
                 "feed",
                 "A feed of the platform's store (configuration or members) "
                 "can be read."},
    LogEventInfo{LogEvent::ConfigurationProblem, LogSeverity::Error,
                 "configuration-problem", "version,problems,first",
                 "Parts of a configuration are unreadable or have an unknown "
                 "type. The other parts are in force; requests of an "
                 "unreadable route are refused as not run, and those of an "
                 "unknown type run at most once."},
    LogEventInfo{LogEvent::StoreReadFailed, LogSeverity::Info,
                 "store-read-failed", "feed,reason,elapsedMs,failures,retryMs",
                 "A read of a feed of the platform's store failed: no "
                 "connection (connect), its end (connection-lost), no answer "
                 "in time (timeout), or a rejection (rejected). It is retried "
                 "after retryMs."},
    LogEventInfo{LogEvent::StoreEraChanged, LogSeverity::Warning,
                 "store-era-changed", "feed,era,before,position",
                 "An answer of the platform's store comes from another era "
                 "than the answer before: the store has been restored from an "
                 "older copy, and its offsets have begun anew. The position is "
                 "that of the feed's next read in the era before."},
    LogEventInfo{LogEvent::StoreBehind, LogSeverity::Warning, "store-behind",
                 "version,inForce",
                 "The store's configuration is older than the one in force, "
                 "which the store has lost with an older copy. The newer one "
                 "stays in force; nodes get it from each other. If the line "
                 "comes again, the operator has to publish the newer "
                 "configuration again."},
};

} // namespace

std::span<const LogEventInfo> logEventCatalogue() { return Catalogue; }

const LogEventInfo &logEventInfo(LogEvent Event) {
  const auto Found = std::find_if(
      Catalogue.begin(), Catalogue.end(),
      [Event](const LogEventInfo &Entry) { return Entry.Event == Event; });
  assert(Found != Catalogue.end() && "each event is in the catalogue");
  return *Found;
}

std::string_view toString(LogSeverity Value) {
  switch (Value) {
  case LogSeverity::Debug:
    return "debug";
  case LogSeverity::Info:
    return "info";
  case LogSeverity::Warning:
    return "warning";
  case LogSeverity::Error:
    return "error";
  }
  return "error";
}

} // namespace camphorpin
