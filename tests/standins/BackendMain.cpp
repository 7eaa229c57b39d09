#include "Backend.h"
#include "StandinServer.h"

#include <gflags/gflags.h>

DEFINE_string(address, "127.0.0.1:8000", "address to listen on");
DEFINE_uint32(slots, 32, "requests that run at the same time");
DEFINE_uint32(waiting, 64, "requests that wait for a slot");
DEFINE_uint32(connections, 200, "connections that are served");
DEFINE_double(service_ms, 5, "service time");
DEFINE_double(jitter_ms, 0, "longest random addition to the service time");
DEFINE_double(cold_ms, 0, "length of the cold start");
DEFINE_double(cold_factor, 5, "slowness at the begin of the cold start");
DEFINE_uint64(seed, 1, "seed of the service time");
DEFINE_string(nested, "", "calls, as operation=service/operation,...;...");
DEFINE_string(node, "", "HTTP address of the local node, for nested calls");
DEFINE_string(ledger, "", "file in which each run is recorded");

int main(int Argc, char **Argv) {
  using namespace camphorpin::standins;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  Backend::Settings Values;
  Values.Limits = {FLAGS_slots, FLAGS_waiting};
  Values.Time = {FLAGS_service_ms, FLAGS_jitter_ms, FLAGS_cold_ms,
                 FLAGS_cold_factor, FLAGS_seed};
  Values.Nested = FLAGS_nested;
  Values.Node = FLAGS_node;
  Values.LedgerPath = FLAGS_ledger;
  Backend Worker(Values);
  StandinServer Server(FLAGS_connections);
  Worker.install(Server.http());
  Server.run(parseEndpoint(FLAGS_address), [&Worker] { Worker.drain(); });
  return 0;
}
