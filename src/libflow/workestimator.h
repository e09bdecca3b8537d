#ifndef FIREFLYTRESTLE_LIBFLOW_WORKESTIMATOR_H_
#define FIREFLYTRESTLE_LIBFLOW_WORKESTIMATOR_H_

#include <vector>

#include "libbase/clock.h"
#include "libflow/flowclass.h"

namespace fireflytrestle {

/// \brief Estimates the time that an upstream works on one request, for each
/// class of flows.
class WorkEstimator {
 public:
  /// Records the time that the upstream worked on a request.
  void OnAnswer(const FlowClass& flow_class, Duration time);

  /// Returns the expected work of a request; the average over all classes if
  /// none of this class has been answered yet.
  Duration Expected(const FlowClass& flow_class) const;

  /// Whether enough requests of the class were answered for an estimate.
  bool Knows(const FlowClass& flow_class) const;

  /// Returns the average over all classes.
  Duration Average() const { return m_average; }

 private:
  struct ClassAverage {
    FlowClass flow_class;
    Duration average;
    int samples = 0;
  };

  Duration m_average = std::chrono::milliseconds(20);
  /// Most recently seen class last.
  std::vector<ClassAverage> m_classes;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBFLOW_WORKESTIMATOR_H_
