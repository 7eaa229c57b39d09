#ifndef CAMPHORPIN_SRC_ADMISSION_ADMISSIONLISTENER_H
#define CAMPHORPIN_SRC_ADMISSION_ADMISSIONLISTENER_H

#include "camphorpin/Core.h"

#include <cstdint>

namespace camphorpin {

/// \class AdmissionListener
/// \brief Carries out the decisions of an AdmissionController.
///
/// Every offered call gets exactly one of start() and refuse(), during the
/// offer or during a later event. These functions must not call the controller.
class AdmissionListener {
public:
  virtual ~AdmissionListener() = default;

  /// The call is to run on the backend server now. Its slot is taken until
  /// AdmissionController::onFinished().
  virtual void start(std::uint64_t Id) = 0;

  /// The call did not run and will not: the verdict is not-run.
  virtual void refuse(std::uint64_t Id, RefusalReason Reason) = 0;

  /// The running call is to be cancelled. Its slot stays taken until
  /// AdmissionController::onFinished(). Called at most once per call.
  virtual void cancelRunning(std::uint64_t Id) = 0;
};

} // namespace camphorpin

#endif
