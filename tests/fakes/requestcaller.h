#ifndef FIREFLYTRESTLE_TESTS_FAKES_REQUESTCALLER_H_
#define FIREFLYTRESTLE_TESTS_FAKES_REQUESTCALLER_H_

#include <QElapsedTimer>
#include <QTimer>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libbase/requestkind.h"
#include "libbase/socketaddress.h"

namespace fireflytrestle {

class FlowClient;
struct SiteContext;

/// \brief A caller that sends order or document requests one after the other.
///
/// An order that may have run is never sent again; a refused order is retried
/// until its deadline. A document request is retried in every case.
class RequestCaller : public QObject {
 public:
  RequestCaller(std::string name,
                std::string service,
                SocketAddress address,
                RequestKind kind,
                std::chrono::milliseconds pause,
                SiteContext* context);
  ~RequestCaller() override;

  bool is_idle() const { return !m_busy; }

 private:
  void StartNextRequest();
  void StartAttempt();
  void OpenFlow();
  void SendRequest();
  void OnAnswered(const std::string& answer);
  void OnRefused();
  void OnOutcomeUnknown();
  void ScheduleRetry();
  void FinishRequest();
  void CheckDeadline();

  std::string m_name;
  std::string m_service;
  SocketAddress m_address;
  RequestKind m_kind;
  std::chrono::milliseconds m_pause;
  SiteContext* m_context;
  std::unique_ptr<FlowClient> m_flow;
  int m_flow_requests = 0;
  std::uint64_t m_request_count = 0;
  std::string m_id;
  int m_attempt = 0;
  std::uint32_t m_sequence = 0;
  bool m_busy = false;
  bool m_sent = false;
  QElapsedTimer m_since_start;
  QTimer m_timer;
  QTimer m_retry_timer;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_TESTS_FAKES_REQUESTCALLER_H_
