#include "camphorpin/src/Admission/AdmissionController.h"
#include "camphorpin/src/Admission/AdmissionState.h"

#include "camphorpin/src/Admission/AimdLimit.h"

#include <utility>

using namespace camphorpin;

AdmissionController::AdmissionController(const MeshPolicy &Mesh,
                                         const ServicePolicy &Service,
                                         AdmissionListener &Listener,
                                         Instant Now)
    : AdmissionController(Mesh, Service, Listener, Now,
                          std::make_unique<AimdLimit>(Service.Slots)) {}

AdmissionController::AdmissionController(
    const MeshPolicy &Mesh, const ServicePolicy &Service,
    AdmissionListener &Listener, Instant Now,
    std::unique_ptr<ConcurrencyLimit> Limit)
    : State(std::make_unique<detail::AdmissionState>(Mesh, Service, Listener,
                                                     std::move(Limit))) {
  State->tick(Now);
}

AdmissionController::~AdmissionController() = default;

void AdmissionController::offer(const AdmissionRequest &Request, Instant Now) {
  State->offer(Request, Now);
}

void AdmissionController::onFinished(std::uint64_t Id, AdmissionOutcome Outcome,
                                     Instant Now, Duration DownstreamTime) {
  State->onFinished(Id, Outcome, Now, DownstreamTime);
}

void AdmissionController::onCancelled(std::uint64_t Id, Instant Now) {
  State->onCancelled(Id, Now);
}

void AdmissionController::tick(Instant Now) { State->tick(Now); }

void AdmissionController::applyMeshPolicy(const MeshPolicy &Mesh, Instant Now) {
  State->setMeshPolicy(Mesh);
  State->tick(Now);
}

void AdmissionController::applyServicePolicy(const ServicePolicy &Service,
                                             Instant Now) {
  State->setServicePolicy(Service);
  State->tick(Now);
}

void AdmissionController::onBackendRestarted(Instant Now) {
  State->onBackendRestarted();
  State->tick(Now);
}

void AdmissionController::drain() { State->drain(); }

bool AdmissionController::idle() const {
  return State->running() + State->queued() == 0;
}

Rank AdmissionController::sheddingLevel() const {
  return State->sheddingLevel();
}

std::uint32_t AdmissionController::limit() const { return State->limit(); }

std::size_t AdmissionController::running() const { return State->running(); }

std::size_t AdmissionController::running(Rank CallRank) const {
  return State->running(CallRank);
}

std::size_t AdmissionController::queued() const { return State->queued(); }
