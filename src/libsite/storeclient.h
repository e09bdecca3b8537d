#ifndef FIREFLYTRESTLE_LIBSITE_STORECLIENT_H_
#define FIREFLYTRESTLE_LIBSITE_STORECLIENT_H_

#include <chrono>
#include <functional>
#include <string>

#include "libbase/ids.h"
#include "libsite/storeanswer.h"

namespace fireflytrestle {

/// \brief Interface for read-only access to a key-value store.
class StoreClient {
 public:
  using Handler = std::function<void(const StoreAnswer& answer)>;

  virtual ~StoreClient() = default;

  /// Reads one page of the items under \p prefix, starting after \p after_key.
  virtual void List(const std::string& prefix,
                    const std::string& after_key,
                    Handler handler) = 0;

  /// Waits up to \p wait for changes under \p prefix after \p revision.
  virtual void Watch(const std::string& prefix,
                     Revision revision,
                     std::chrono::milliseconds wait,
                     Handler handler) = 0;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBSITE_STORECLIENT_H_
