#ifndef CAMPHORPIN_DAEMON_H
#define CAMPHORPIN_DAEMON_H

/// The node process: threads that deliver events to NodeEngine and carry out
/// its actions.
#include "camphorpin/src/Daemon/NodeDaemon.h"
#include "camphorpin/src/Daemon/Settings.h"

#endif
