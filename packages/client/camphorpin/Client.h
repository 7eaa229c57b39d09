/// \file
/// \brief The commands of camphorctl. docs/operators.md shows each with an
/// example.
#ifndef CAMPHORPIN_CLIENT_H
#define CAMPHORPIN_CLIENT_H

#include "camphorpin/src/Client/AdminClient.h"
#include "camphorpin/src/Client/CommandReport.h"
#include "camphorpin/src/Client/HttpAdminClient.h"
#include "camphorpin/src/Client/LogView.h"
#include "camphorpin/src/Client/NodeCommands.h"
#include "camphorpin/src/Client/PolicyCommands.h"
#include "camphorpin/src/Client/Publisher.h"

#endif
