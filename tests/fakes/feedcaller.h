#ifndef FIREFLYTRESTLE_TESTS_FAKES_FEEDCALLER_H_
#define FIREFLYTRESTLE_TESTS_FAKES_FEEDCALLER_H_

#include <QElapsedTimer>
#include <QTimer>
#include <cstdint>
#include <memory>
#include <string>

#include "libbase/ids.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

class FlowClient;
struct SiteContext;

/// \brief A caller that keeps one long-lived feed open and counts broken flows,
/// handovers, and events that are missing or wrong.
class FeedCaller : public QObject {
 public:
  FeedCaller(std::string name,
             std::string service,
             SocketAddress address,
             SiteContext* context);
  ~FeedCaller() override;

 private:
  void Open();
  void ScheduleReopen();
  void OnOpened();
  void OnEvent(std::uint32_t event, const std::string& body);
  void OnHandover();
  void OnFlowReset();
  void CountBrokenFlow(const char* reason);
  void CheckProgress();

  std::string m_name;
  std::string m_service;
  SocketAddress m_address;
  SiteContext* m_context;
  /// The current flow; during a handover, the flow that replaces the previous
  /// one.
  std::unique_ptr<FlowClient> m_flow;
  /// The flow that is handed over, kept until the new one is open and events
  /// arrive.
  std::unique_ptr<FlowClient> m_previous_flow;
  std::uint32_t m_last_event = 0;
  QElapsedTimer m_since_event;
  QTimer m_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_FEEDCALLER_H_
