#ifndef FIREFLYTRESTLE_BENCH_RENDEZVOUSROUTER_H_
#define FIREFLYTRESTLE_BENCH_RENDEZVOUSROUTER_H_

#include <memory>
#include <utility>

#include "librouting/rendezvoushash.h"
#include "librouting/routingview.h"

namespace fireflytrestle {

/// \brief Baseline for comparison: routes every packet, of new and established
/// flows alike, to the target that ranks first by rendezvous hash of the flow's
/// nonce. It uses neither flow tokens nor the load of targets.
class RendezvousRouter {
 public:
  void InstallView(std::shared_ptr<const RoutingView> view) {
    m_view = std::move(view);
  }

  /// Returns the target for \p nonce, or null if the service has no target.
  const TargetSettings* Route(ServiceId service, const Nonce& nonce) const {
    const auto found = m_view->candidates.find(service);
    if (found == m_view->candidates.end()) {
      return nullptr;
    }
    const std::uint64_t nonce_key = NonceHashKey(nonce);
    const TargetSettings* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const TargetSettings& target : found->second) {
      const std::uint64_t weight =
          RendezvousWeight(nonce_key, TargetHashKey(target.id));
      if (best == nullptr || weight > best_weight) {
        best = &target;
        best_weight = weight;
      }
    }
    return best;
  }

 private:
  std::shared_ptr<const RoutingView> m_view;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_BENCH_RENDEZVOUSROUTER_H_
