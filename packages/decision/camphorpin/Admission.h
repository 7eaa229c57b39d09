/// \file
/// \brief Admission control of one backend server, and shedding by the nodes
/// that call it.
///
/// A node that runs calls on its backend server:
/// \code
///   AdmissionController Admission(Mesh, Service, Listener, Now);
///   Admission.offer(AdmissionRequest::from(Id, Context), Now);
///   // The listener gets start(Id) or refuse(Id, Reason), now or later.
///   Admission.onFinished(Id, AdmissionOutcome::Completed, Now);
///   Admission.tick(Now); // every 10 to 100 ms
/// \endcode
/// A node that calls a service:
/// \code
///   if (!Shedder.admit(Target, Rank, Caller, Now))
///     ; // Refuse the call with RefusalReason::Shed, not run.
///   Shedder.observe({Target, Peer, Rank, Caller, Level, Accepted}, Now);
/// \endcode
#ifndef CAMPHORPIN_ADMISSION_H
#define CAMPHORPIN_ADMISSION_H

#include "camphorpin/src/Admission/AdmissionController.h"
#include "camphorpin/src/Admission/AdmissionListener.h"
#include "camphorpin/src/Admission/AdmissionRequest.h"
#include "camphorpin/src/Admission/UpstreamShedder.h"

#endif
