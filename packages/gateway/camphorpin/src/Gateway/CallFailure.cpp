#include "camphorpin/src/Gateway/CallFailure.h"

namespace camphorpin {

CallFailure classifyFailure(RefusalReason Reason, unsigned Status) {
  switch (Reason) {
  case RefusalReason::Overloaded:
  case RefusalReason::Shed:
  case RefusalReason::BackendShed:
  case RefusalReason::Deadline:
  case RefusalReason::NodeBusy:
    return CallFailure::Overload;
  case RefusalReason::NoBackend:
  case RefusalReason::Draining:
    return CallFailure::Unavailable;
  default:
    return Status == 504 ? CallFailure::Overload : CallFailure::Lost;
  }
}

} // namespace camphorpin
