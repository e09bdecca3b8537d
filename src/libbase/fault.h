#ifndef FIREFLYTRESTLE_LIBBASE_FAULT_H_
#define FIREFLYTRESTLE_LIBBASE_FAULT_H_

#include <string>

namespace fireflytrestle {

/// \brief An error for the operator: its source, such as a setting, file or
/// address, what is wrong and how to correct it.
struct Fault {
  std::string source;
  std::string problem;
  std::string remedy;

  bool operator==(const Fault&) const = default;
};

}  // namespace fireflytrestle

#endif  // FIREFLYTRESTLE_LIBBASE_FAULT_H_
