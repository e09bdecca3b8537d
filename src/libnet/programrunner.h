#ifndef FIREFLYTRESTLE_LIBNET_PROGRAMRUNNER_H_
#define FIREFLYTRESTLE_LIBNET_PROGRAMRUNNER_H_

#include <boost/leaf/result.hpp>
#include <functional>

namespace fireflytrestle {

class Logger;

/// Calls \p body and returns the exit code of the program: 0 on success, or 1
/// after logging the error that \p body returned.
int RunProgram(Logger* logger,
               const std::function<boost::leaf::result<void>()>& body);

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBNET_PROGRAMRUNNER_H_
