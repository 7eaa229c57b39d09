/// \file
/// \brief Configuration: folds the records of the platform's log into
/// documents, restates each document before its records expire from the log,
/// and replicates the records to all nodes.
#ifndef CAMPHORPIN_CONFIGURATION_H
#define CAMPHORPIN_CONFIGURATION_H

#include "camphorpin/src/Configuration/ConfigurationActions.h"
#include "camphorpin/src/Configuration/ConfigurationDocument.h"
#include "camphorpin/src/Configuration/ConfigurationFold.h"
#include "camphorpin/src/Configuration/ConfigurationMessages.h"
#include "camphorpin/src/Configuration/ConfigurationPeers.h"
#include "camphorpin/src/Configuration/ConfigurationRecord.h"
#include "camphorpin/src/Configuration/ConfigurationReplicator.h"
#include "camphorpin/src/Configuration/FoldSnapshot.h"
#include "camphorpin/src/Configuration/RecordOutcome.h"
#include "camphorpin/src/Configuration/RestateScheduler.h"

#endif
