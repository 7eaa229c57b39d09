/// \file
/// \brief Which nodes exist, where they are and whether they answer.
///
/// Each node owns one Membership object. It spreads changes as deltas on probes
/// and acknowledgements under a byte budget, suspects members that do not
/// answer, and reports a whole availability zone as one fact.
#ifndef CAMPHORPIN_MEMBERSHIP_H
#define CAMPHORPIN_MEMBERSHIP_H

#include "camphorpin/src/Membership/EntryPointSelection.h"
#include "camphorpin/src/Membership/FailureDetector.h"
#include "camphorpin/src/Membership/GossipMessage.h"
#include "camphorpin/src/Membership/GossipQueue.h"
#include "camphorpin/src/Membership/MemberRecord.h"
#include "camphorpin/src/Membership/MemberTable.h"
#include "camphorpin/src/Membership/Membership.h"
#include "camphorpin/src/Membership/MembershipSettings.h"
#include "camphorpin/src/Membership/TableSync.h"
#include "camphorpin/src/Membership/ZoneMonitor.h"

#endif
