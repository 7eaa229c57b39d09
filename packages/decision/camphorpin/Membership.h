/// \file
/// \brief Membership: which nodes exist, where they run and whether they
/// answer.
///
/// Each node owns one Membership object. It disseminates changes as deltas
/// piggybacked on probes and acknowledgements within a byte budget, suspects
/// members that do not answer, and reports an unreachable availability zone as
/// a whole instead of member by member.
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
